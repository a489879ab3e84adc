# 1,000 gateways start within one second, as after a hall was cut off, with the list that they had; a tenth of the real
# servers has just started too. The list service answers 85 calls a second, one after another.
from     = "release.hcl"
about    = "A cold start: 1,000 gateways within one second"
warmup   = "0s"
policies = ["module"]

gateways {
  count = 1000
}

list {
  timeout = "2s"
}

faults {
  release = null

  cold {
    at    = "0s"
    kind  = "kill_replicas"
    share = 0.1
    back  = "500ms"
  }
}
