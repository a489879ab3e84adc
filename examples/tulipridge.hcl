# Both fronts and the store on loopback; see docs/settings.md for every key.

messages {
  listen  = "127.0.0.1:8081"
  classes = { "map-bulk" = "bulk" }
  class   = "docs"
  tenant  = "alpen-karten"

  # What clients are told of at /v1/models.
  models = {
    map-fast = { name = "Map, fast" }
    map-bulk = { name = "Map, bulk", output_tokens = 8192 }
  }

  # A minute's worth for each tenant; what is absent is not limited.
  limits = {
    alpen-karten = { requests = 600, input_tokens = 2000000 }
  }

  # 'tulipridge key NAME' makes a key and its line; with any line here every client has to show one.
  keys = {}
}

dialects = { toy = "platform", toy-messages = "messages" }

store {
  listen = "127.0.0.1:8082"
  peers  = []
}

streams {
  window        = "16KiB"
  silence       = "4s"
  reader_span   = "8s"
  reader_floor  = "4KiB"
  figures_every = "1m"
}

rest {
  first        = "5s"
  longest      = "1m"
  most_resting = 0.2
}
