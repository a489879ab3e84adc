# Serves both dialects and the store on loopback. docs/settings.md describes all keys.

messages {
  listen  = "127.0.0.1:8081"
  classes = { "map-bulk" = "bulk" }
  class   = "docs"
  tenant  = "alpen-karten"

  # Models that /v1/models lists.
  models = {
    map-fast = { name = "Map, fast" }
    map-bulk = { name = "Map, bulk", output_tokens = 8192 }
  }

  # Limits of each tenant per minute; an absent limit does not apply.
  limits = {
    alpen-karten = { requests = 600, input_tokens = 2000000 }
  }

  # 'tulipridge key NAME' makes a key and its line. If this table has a line, every client must present a key.
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
