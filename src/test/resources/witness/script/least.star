fleet(name = "quays", listen = "127.0.0.2:4202")
dns(listen = "127.0.0.5:4206")
key(name = "quay-key", secret_file = "quay.key")
zone(name = "quay.test", file = "quay.zone")
