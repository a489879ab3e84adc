# The faults of errors.hcl at two thirds of the load and without the overload at the end, so that losses are not due to
# overload.
from  = "errors.hcl"
about = "The troubles of errors.hcl in a quiet hour"

load {
  rate   = 20
  phases = null
}
