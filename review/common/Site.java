import java.util.LinkedHashMap;
import java.util.Map;

/** The settings of a small deployment, like those of cairo-outlet. */
final class Site {
  static final int CORES = 6;
  static final int GIVE_UP_MS = 4500;
  static final int SLACK_MS = 100;

  /** "each time limit being 50 ms longer" on sockets. */
  static final int SOCKET_MS = 50;

  private Site() {}

  private static String requestClass(String name, String effect, int worth) {
    return """
        {"Name":"%s","Idempotency":"%s","Worth":%d,"Target":1800000,"GiveUp":%d,
         "LateValue":0.0,"MemorySpan":5000000}"""
        .formatted(name, effect, worth, GIVE_UP_MS * 1000);
  }

  static String config(
      String listen,
      String pool,
      String announce,
      String management,
      int memoryKb,
      int sockets) {
    return """
        {"name":"shop-1","listen":"%s","pool":"%s","announce":"%s",%s
         "seed":"5e0c7a91d2b34f68","stop_ms":4000,
         "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
         "settings":{"Azs":["east","west"],"Zone":"east","Tier":0,"Tiers":["shops"],"Me":0,
          "Round":2000,"ReplicasOfMe":10,"CountedBy":"request","OverShareWorth":0.05,
          "DomainType":"server",
          "Classes":[%s,%s,%s],
          "ClientHabits":{"MarksRetry":true},
          "Contract":{"AnswerSlack":%d,"ColdFrom":0.3,"DrainGrace":2000000,"Fall":2000000,
           "FallMultiple":8.0,"WarmAfter":18000000},
          "Costs":{"Connection":0.0,"Handshake":0.03,"LateFail":0.07,"Origin":0.0,"Waste":0.07},
          "Extra":{"Callers":3,"CallsByClass":[false,false,false],"CallsOut":0.0,"Cold":false,
           "Cores":%d,"DegradedWorth":[0.0,0.0,0.0],"DepWindow":5000000,"DependsOn":"silent",
           "EntryKb":100.0,"Fresh":0,"FullChecks":true,
           "Gauges":["cpu_busy","runnable","mem_used","sockets"],"Halt":"suspend",
           "HeardFor":1000000,"Idle":30000000,"Linger":200000,"MemoryKb":%d,
           "PassesDeadline":false,"Readiness":false,"RunMemFactor":16.0,"Say":"threshold",
           "TellsGone":true},
          "Limits":{"CpuUsPerRequest":0.0,"CpuUsPerS":60000,"MaxRetryAfter":1000000,
           "RetryAfter":true},
          "ScoreParts":{"Whole":0.5,"WorstClass":0.3,"WorstTenant":0.1,"WorstWindow":0.1},
          "Telemetry":{"Fields":["cpu","active"],"Via":"pull"},
          "Tenants":[{"Name":"shop-a","QuotaPerS":100.0,"Share":0.6},
           {"Name":"shop-b","QuotaPerS":70.0,"Share":0.4}]}}
        """
        .formatted(
            listen,
            pool,
            announce,
            management.isEmpty() ? "" : "\"management\":\"" + management + "\",",
            sockets,
            requestClass("stock-check", "free", 1),
            requestClass("price-set", "free", 1),
            requestClass("place-order", "single_shot", 10),
            SLACK_MS * 1000,
            CORES,
            memoryKb);
  }

  /** The fields of a request of a tenant. */
  static Map<String, String> fields(double reserveKb) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("HTTP_PROJECT", "shop-a");
    fields.put("HTTP_RESERVE_KB", Double.toString(reserveKb));
    fields.put("HTTP_STANDING", "0.5000");
    return fields;
  }
}
