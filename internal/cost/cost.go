package cost

import "maps"

const (
	// maxRoutes bounds the memory: each route takes about 2 KB.
	maxRoutes = 256
	// meanWeight is the weight of one run in the mean of a route.
	meanWeight = 0.03
	// bucketSamples is the number of runs over which the mean of a bucket is taken.
	bucketSamples = 100
	// priorSamples is the number of runs at the route's mean with which a bucket starts, so that a bucket with few runs
	// predicts little else than the route's mean.
	priorSamples = 4
	// errorWeight is the weight of one run in the mean squared errors: about the last 300 runs count, of which a few cost a
	// multiple of the mean.
	errorWeight = 1.0 / 300
	// minSamples is the number of runs of a route before its features are used.
	minSamples = 150
	// minSpread is the least standard deviation of the costs of a route, relative to their mean, from which predictions
	// are of use.
	minSpread = 0.3
	// useBelow and dropAbove are the mean squared error of a feature, relative to that of the route's mean, below which
	// the feature is taken into use and above which it is dropped again.
	useBelow  = 0.75
	dropAbove = 0.9
	// maxRatio bounds the cost of one run relative to the mean of its route in the errors and means, so that one
	// extreme run does not decide about a feature.
	maxRatio = 16
)

// Estimate is the predicted service time of a request in seconds.
type Estimate struct {
	// Mean is the expected service time, and High its 0.95 quantile. Both are 0 if no run of the route has been observed.
	Mean, High float64
	// Known says that the request's features explain its cost. Otherwise Mean and High are those of the route.
	Known bool
}

// Calibration compares the predictions with the runs that were observed afterwards.
type Calibration struct {
	// Runs is the number of runs, Censored that of cut runs, and Predicted that of runs with a prediction from their features.
	Runs, Censored, Predicted uint64
	// PredictionError and RouteError are the sums of the squared errors of these predictions and of the route's mean for the
	// same runs, relative to the route's mean.
	PredictionError, RouteError float64
	// Enabled and Disabled count how often a feature was taken into use or dropped.
	Enabled, Disabled uint64
}

// bucket is what is known of the requests with one value of a feature.
type bucket struct {
	ratio   float32 // mean cost relative to that of the route
	samples float32
}

func (b *bucket) predict() float64 {
	return (float64(b.ratio)*float64(b.samples) + priorSamples) / (float64(b.samples) + priorSamples)
}

// routeCosts is what is known of one route.
type routeCosts struct {
	samples int
	mean    float64
	// routeError is the mean squared error of the route's mean, and featureErrors that of each feature, in multiples of the
	// route's mean.
	routeError    float64
	featureErrors [featureCount]float64
	buckets       [featureCount][featureBuckets]bucket
	// used is the feature from which the costs are predicted, -1 if none explains them.
	used int
	// spread is the distribution of the costs relative to their predictions.
	spread distribution
}

// Predictor learns the service times of one target. It is not safe for concurrent use.
type Predictor struct {
	routes      map[string]*routeCosts
	calibration Calibration
}

// NewPredictor returns a predictor without knowledge.
func NewPredictor() *Predictor { return &Predictor{routes: map[string]*routeCosts{}} }

// ratio returns the expected cost of a request relative to its route's mean.
func (r *routeCosts) ratio(f *Features) float64 {
	if r.used < 0 {
		return 1
	}
	return r.buckets[r.used][f.buckets[r.used]].predict()
}

// Predict returns the expected service time of a request.
func (p *Predictor) Predict(f *Features) Estimate {
	r := p.routes[f.Route]
	if r == nil {
		return Estimate{}
	}
	mean := r.mean * r.ratio(f)
	return Estimate{Mean: mean, High: mean * r.spread.high(), Known: r.used >= 0}
}

// Remaining returns how much longer, in seconds, a request of the given expected service time will run that has run for
// the given time already. It applies to all requests, whether or not their features explain their cost.
func (p *Predictor) Remaining(f *Features, expected, elapsed float64) float64 {
	r := p.routes[f.Route]
	if r == nil || expected <= 0 || r.spread.total == 0 {
		return expected
	}
	return expected * r.spread.remaining(elapsed/expected)
}

// Observe records the service time of a run that ended by itself. Refused requests and runs on a cold target are not
// observed.
func (p *Predictor) Observe(f *Features, took float64) {
	r := p.route(f.Route)
	if r == nil || took <= 0 {
		return
	}
	p.calibration.Runs++
	if r.samples == 0 {
		r.mean = took
	}
	r.samples++
	r.spread.add(took / (r.mean * r.ratio(f)))
	ratio := min(took/r.mean, maxRatio)
	p.calibrate(r, f, ratio)
	r.learn(f, ratio)
	r.mean += max(meanWeight, 1/float64(r.samples)) * (took - r.mean)
	p.selectFeature(r)
}

// ObserveCensored records a run that was cut after the given time: its cost is at least that. It changes only the
// distribution of the costs, and only if the run took longer than expected.
func (p *Predictor) ObserveCensored(f *Features, took float64) {
	p.calibration.Censored++
	if r := p.routes[f.Route]; r != nil && r.spread.total > 0 {
		r.spread.addCensored(took / (r.mean * r.ratio(f)))
	}
}

// route returns the costs of a route, which may be new, or nil if there are too many.
func (p *Predictor) route(name string) *routeCosts {
	r := p.routes[name]
	if r == nil && len(p.routes) < maxRoutes {
		r = &routeCosts{used: -1}
		p.routes[name] = r
	}
	return r
}

// calibrate compares the predictions for a run with its cost relative to the route's mean.
func (p *Predictor) calibrate(r *routeCosts, f *Features, ratio float64) {
	weight := max(errorWeight, 1/float64(r.samples))
	routeError := (ratio - 1) * (ratio - 1)
	r.routeError += weight * (routeError - r.routeError)
	for k := range r.buckets {
		e := ratio - r.buckets[k][f.buckets[k]].predict()
		r.featureErrors[k] += weight * (e*e - r.featureErrors[k])
		if k == r.used {
			p.calibration.Predicted++
			p.calibration.PredictionError += e * e
			p.calibration.RouteError += routeError
		}
	}
}

func (r *routeCosts) learn(f *Features, ratio float64) {
	for k := range r.buckets {
		b := &r.buckets[k][f.buckets[k]]
		b.samples = min(b.samples+1, bucketSamples)
		b.ratio += (float32(ratio) - b.ratio) / b.samples
	}
}

// selectFeature takes the feature into use that explains the costs best, if one explains enough of them, and drops one
// that no longer does.
func (p *Predictor) selectFeature(r *routeCosts) {
	if r.samples < minSamples {
		return
	}
	best := 0
	for k := range r.featureErrors {
		if r.featureErrors[k] < r.featureErrors[best] {
			best = k
		}
	}
	share := r.featureErrors[best] / max(r.routeError, 1e-9)
	switch {
	case r.used < 0 && (share > useBelow || r.routeError < minSpread*minSpread):
	case r.used >= 0 && (r.featureErrors[r.used] > dropAbove*r.routeError || r.routeError < minSpread*minSpread/2):
		r.used = -1
		p.calibration.Disabled++
		r.spread.reset()
	case r.used < 0, r.featureErrors[best] < useBelow*r.featureErrors[r.used]:
		r.used = best
		p.calibration.Enabled++
		r.spread.reset()
	}
}

// Calibration returns the calibration since the start.
func (p *Predictor) Calibration() Calibration { return p.calibration }

// Routes returns the numbers of observed routes and of those whose costs are predicted from features.
func (p *Predictor) Routes() (observed, predicted int) {
	for _, r := range p.routes {
		if r.used >= 0 {
			predicted++
		}
	}
	return len(p.routes), predicted
}

// RetainRoutes drops all routes not in the set.
func (p *Predictor) RetainRoutes(routes map[string]bool) {
	maps.DeleteFunc(p.routes, func(route string, _ *routeCosts) bool { return !routes[route] })
}
