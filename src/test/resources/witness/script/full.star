ajp(listen = "127.0.0.1:4201")
fleet(name = "quays", listen = "127.0.0.2:4202", advertise = "127.0.0.3:4203", seeds = ["127.0.0.4:4204", "[::1]:4205"], zone = "east")
dns(
    listen = "127.0.0.5:4206",
    state = "kept",
    udp_bytes = 1001,
    unproven_bytes = 1002,
    connections = 1003,
    idle_ms = 1004,
    pipelined = 105,
    responses_per_second = 1006,
    prefixes = 1007,
    cached = 1008,
    records = 1009,
    journal_bytes = 5010,
    repeats = 1011,
    control = "off",
)
key(name = "Quay-Key.", algorithm = "HMAC-SHA512", secret_file = "quay.key")
zone(name = "Quay.Test.", file = "quay.zone", updates = [allow(key = "quay-key", names = "*.Quay.Test.", types = ["a", "TXT"])])
