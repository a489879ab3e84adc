# Both fronts and the store on loopback; see docs/settings.md for every key.

messages {
  listen  = "127.0.0.1:8081"
  classes = { "map-bulk" = "bulk" }
  class   = "docs"
  tenant  = "alpen-karten"
}

dialects = { toy = "platform" }

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
