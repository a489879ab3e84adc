# How fast the laboratory is: 10,000 small requests a second, a third of the gateways restarting.
about    = "300 gateways, 100 real servers, 10,000 requests a second"
seed     = 1
warmup   = "5s"
length   = "15s"
policies = ["module", "random", "least_in_flight", "oracle"]

gateways {
  count        = 300
  zones        = 3
  skew         = 0.5
  start_within = "1s"
  notice       = "1s"
}

replicas {
  count     = 100
  cold_from = 0.3
  ramp      = "8s"
  chunk     = 16384

  kinds {
    large {
      share  = 0.31
      units  = 4
      speed  = 2.0
      batch  = 256
      memory = 4000000
      step   = "4ms"
      read   = 2000000
    }
    medium {
      share  = 0.41
      units  = 4.4
      speed  = 1.2
      batch  = 256
      memory = 4000000
      step   = "4ms"
      read   = 2000000
    }
    small {
      share  = 0.28
      units  = 5
      speed  = 0.8
      batch  = 256
      memory = 4000000
      step   = "4ms"
      read   = 2000000
    }
  }

  reports {
    period = "700ms"
    delay  = "200ms"
    noise  = 0.05
  }
}

load {
  rate  = 10000
  think = "3s"
}

classes {
  docs {
    share        = 0.8
    turns        = 2.1
    beginnings   = 60
    zipf         = 1.0
    beginning    = [200, 600]
    adds         = [93, 290]
    answer       = [4, 12]
    aim          = "1500ms"
    aim_per_1000 = "30ms"
    deadline     = "5s"
    worth        = 1
    late_worth   = 0.3
  }
  bulk {
    share        = 0.2
    turns        = 1.1
    beginnings   = 40
    zipf         = 1.0
    beginning    = [390, 940]
    adds         = [620, 2000]
    answer       = [4, 12]
    aim          = "3s"
    aim_per_1000 = "40ms"
    deadline     = "10s"
    worth        = 3
    late_worth   = 0.2
  }
}

tenants {
  alpen_karten {
    share = 0.63
    quota = 7000
  }
  seeland_plan {
    share = 0.37
    quota = 4000
  }
}

list {
  calls_per_s = 85
  timeout     = "1s"
  notice      = "3s"
  add         = "1s"
  period      = "350ms"
  spread      = "80ms"
}

clients {
  retries   = 3
  try_share = 0.55
  backoff   = "0s"
  honour    = 0.2
}

network {
  same            = "200us"
  cross           = "600us"
  handshake       = "2ms"
  idle            = "3s"
  connect_timeout = "150ms"
}

faults {
  release {
    at     = "5s"
    kind   = "restart_gateways"
    share  = 0.33
    within = "300ms"
    back   = "1s"
  }
}
