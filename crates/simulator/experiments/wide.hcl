# Measures the speed of the simulator: 10,000 small requests per second, while a third of the gateways restarts.
from     = "release.hcl"
about    = "300 gateways, 100 replicas, 10,000 requests a second"
warmup   = "5s"
length   = "15s"
policies = ["module", "random", "least_in_flight", "oracle"]

replicas {
  chunk = 16384

  kinds {
    large {
      batch  = 256
      memory = 4000000
      step   = "4ms"
      read   = 2000000
    }
    medium {
      batch  = 256
      memory = 4000000
      step   = "4ms"
      read   = 2000000
    }
    small {
      batch  = 256
      memory = 4000000
      step   = "4ms"
      read   = 2000000
    }
  }
}

load {
  rate = 10000
}

classes {
  docs {
    beginning = [200, 600]
    answer    = [4, 12]
  }
  bulk {
    answer = [4, 12]
  }
}

tenants {
  alpen_karten {
    quota = 7000
  }
  seeland_plan {
    quota = 4000
  }
}

faults {
  release {
    at    = "5s"
    share = 0.33
  }
}
