# The same troubles at two thirds of the load, without the overload at the end: what is lost here is not lost to a jam.
from  = "errors.hcl"
about = "The troubles of errors.hcl in a quiet hour"

load {
  rate   = 20
  phases = null
}
