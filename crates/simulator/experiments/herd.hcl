# A day of the operators' benchmark (herd+mass), as far as its log describes it: while half of the replicas are replaced
# in steps, seven in ten of 309 gateways restart at once, and the load varies. One replica in eight is slow throughout.
from     = "release.hcl"
about    = "Gateways and replicas released together: after a day of herd+mass"
length   = "20s"
policies = ["module", "random", "least_in_flight", "two_choices", "bounded_ring", "oracle"]

gateways {
  count = 309
}

list {
  timeout = "2s"
}

load {
  phases {
    first {
      at     = "0s"
      lasts  = "5s"
      factor = 1.75
    }
    second {
      at     = "12s"
      lasts  = "4s"
      factor = 1.85
    }
    third {
      at     = "16s"
      lasts  = "2s"
      factor = 1.4
    }
  }
}

faults {
  bad {
    at     = "0s"
    kind   = "slow_replicas"
    share  = 0.125
    back   = "20s"
    factor = 3
  }
  step_1 {
    at    = "7300ms"
    kind  = "replace_replicas"
    share = 0.15
    back  = "2500ms"
  }
  step_2 {
    at    = "9800ms"
    kind  = "replace_replicas"
    share = 0.17
    back  = "2500ms"
  }
  release {
    at     = "10300ms"
    within = "50ms"
  }
  step_3 {
    at    = "11500ms"
    kind  = "replace_replicas"
    share = 0.2
    back  = "2500ms"
  }
  step_4 {
    at    = "14300ms"
    kind  = "replace_replicas"
    share = 0.06
    back  = "2500ms"
  }
}
