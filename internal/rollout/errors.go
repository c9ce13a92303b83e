package rollout

import "github.com/pkg/errors"

var (
	errLeaseEnded    = errors.New("the lease ended before the load order was sent")
	errOrderRejected = errors.New("the replica refused the load order")
	errOrderLost     = errors.New("the load order was lost")
	errRestarted     = errors.New("the replica restarted")
	errLoadTimeout   = errors.New("the replica did not load the weights in time")
)
