# A small fleet with one class of long prompts: three gateways and eleven replicas of three machine kinds, without load
# reports. Lists are pushed with a delay, and show only whether a process is running. Four faults follow one another,
# 15 s apart, to show the aftermath of each; at the end errors and a hang coincide in an overload.
about    = "Partial quick errors, a hang, a crash and a mute list, one after another"
seed     = 1
warmup   = "30s"
length   = "150s"
policies = ["module", "random", "least_in_flight", "two_choices", "oracle"]

gateways {
  count        = 3
  zones        = 2
  skew         = 0.3
  start_within = "1s"
  notice       = "2s"
}

replicas {
  count         = 11
  cold_from     = 0.2
  ramp          = "20s"
  chunk         = 512
  fall_multiple = 3
  fall          = "2s"

  kinds {
    fast {
      share  = 0.36
      units  = 1
      speed  = 2.0
      batch  = 64
      memory = 100000
      step   = "17ms"
      read   = 16000
    }
    even {
      share  = 0.28
      units  = 1
      speed  = 1.2
      batch  = 60
      memory = 95000
      step   = "17ms"
      read   = 17000
    }
    slow {
      share  = 0.36
      units  = 1
      speed  = 0.8
      batch  = 60
      memory = 105000
      step   = "15ms"
      read   = 19000
    }
  }
}

load {
  rate  = 30
  think = "3s"

  phases {
    overload {
      at     = "120s"
      lasts  = "15s"
      factor = 2
    }
  }
}

classes {
  chat {
    share        = 1
    turns        = 6
    beginnings   = 6
    zipf         = 1.0
    beginning    = [4000, 7500]
    adds         = [350, 800]
    answer       = [40, 150]
    aim          = "1500ms"
    aim_per_1000 = "60ms"
    deadline     = "7500ms"
    worth        = 1
    late_worth   = 0.25
  }
}

tenants = {
  one   = { share = 0.25, quota = 12 }
  two   = { share = 0.17, quota = 8 }
  three = { share = 0.12, quota = 6 }
  four  = { share = 0.1, quota = 5 }
  five  = { share = 0.1, quota = 5 }
  six   = { share = 0.09, quota = 4.5 }
  seven = { share = 0.08, quota = 4 }
  eight = { share = 0.05, quota = 2.5 }
  nine  = { share = 0.04, quota = 2 }
}

list {
  push        = true
  calls_per_s = 100
  timeout     = "1s"
  notice      = "2s"
  add         = "1s"
  period      = "500ms"
  spread      = "80ms"

  late {
    least = "600ms"
    most  = "3s"
  }
}

allow {
  attempts      = 5
  second_copies = false
}

clients {
  retries   = 1
  try_share = 0.85
  backoff   = "300ms"
  honour    = 0.9
}

network {
  same            = "150us"
  cross           = "4ms"
  handshake       = "4ms"
  idle            = "60s"
  connect_timeout = "250ms"
}

faults {
  errors {
    at    = "10s"
    kind  = "error_replicas"
    share = 0.18
    part  = 0.6
    back  = "15s"
  }
  hang {
    at    = "40s"
    kind  = "hang_replicas"
    share = 0.18
    back  = "15s"
  }
  crash {
    at    = "70s"
    kind  = "kill_replicas"
    share = 0.18
    back  = "10s"
  }
  mute {
    at    = "95s"
    kind  = "list_outage"
    back  = "10s"
  }
  mute_crash {
    at    = "96s"
    kind  = "kill_replicas"
    share = 0.1
    back  = "5s"
  }
  both_errors {
    at    = "120s"
    kind  = "error_replicas"
    share = 0.18
    part  = 0.6
    back  = "15s"
  }
  both_hang {
    at    = "122s"
    kind  = "hang_replicas"
    share = 0.1
    back  = "13s"
  }
}
