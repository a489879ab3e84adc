# 300 gateways and 100 replicas, with about two requests per second at each gateway. Seven in ten gateways restart at
# once with their persisted lists. The sizes in the list are approximately right: units times speed of the machine kinds
# are in the same proportion as their throughputs in the simulator (1.9 to 1.3 to 1).
about    = "A release: seven in ten of 300 gateways restart at once"
seed     = 1
warmup   = "20s"
length   = "40s"
policies = ["module", "random", "round_robin", "least_in_flight", "two_choices", "bounded_ring", "oracle"]

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
  chunk     = 512

  kinds {
    large {
      share  = 0.31
      units  = 4
      speed  = 2.0
      batch  = 19
      memory = 285000
      step   = "17ms"
      read   = 17500
    }
    medium {
      share  = 0.41
      units  = 4.4
      speed  = 1.2
      batch  = 19
      memory = 340000
      step   = "13ms"
      read   = 16000
    }
    small {
      share  = 0.28
      units  = 5
      speed  = 0.8
      batch  = 20
      memory = 385000
      step   = "15ms"
      read   = 18000
    }
  }

  reports {
    period = "700ms"
    delay  = "200ms"
    noise  = 0.05
  }
}

load {
  rate  = 500
  think = "3s"
}

classes {
  docs {
    share        = 0.8
    turns        = 2.1
    beginnings   = 60
    zipf         = 1.0
    beginning    = [2200, 6000]
    adds         = [93, 290]
    answer       = [64, 180]
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
    answer       = [60, 110]
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
    quota = 500
  }
  seeland_plan {
    share = 0.37
    quota = 300
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
    at     = "10s"
    kind   = "restart_gateways"
    share  = 0.7
    within = "300ms"
    back   = "1s"
  }
}
