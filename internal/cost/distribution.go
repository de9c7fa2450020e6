package cost

import "math"

const (
	// binCount bins with binsPerOctave bins per factor of 2 hold ratios from 1/16 to 16.
	binCount      = 32
	binsPerOctave = 4
	lowestOctave  = -4
	// forgetting is the share of its weight that a sample loses with each new one: about the last 500 count.
	forgetting = 1.0 / 500
	// maxWeight is the weight of a new sample above which all weights are scaled down.
	maxWeight = 1e6
	// highQuantile is the quantile that high returns.
	highQuantile = 0.95
	// minTail is the number of samples beyond a ratio from which the remainder is computed from them.
	minTail = 1
	// tailGrowth is the expected remainder relative to the elapsed time beyond all samples.
	tailGrowth = 0.5
)

// binMiddle holds the geometric middle of each bin, and binTop its upper end.
var binMiddle, binTop = func() (middle, top [binCount]float64) {
	for i := range middle {
		middle[i] = math.Exp2(lowestOctave + (float64(i)+0.5)/binsPerOctave)
		top[i] = math.Exp2(lowestOctave + float64(i+1)/binsPerOctave)
	}
	return middle, top
}()

// distribution is a histogram of ratios of costs to their predictions in which old samples are forgotten.
type distribution struct {
	weights [binCount]float64
	total   float64
	weight  float64 // of the next sample; it grows instead of the others shrinking
	// tailWeight and tailSum hold the weight of the bin and all above it, and the sum of their ratios. They and quantile are
	// computed on demand.
	tailWeight, tailSum [binCount + 1]float64
	quantile            float64
	stale               bool
}

func binOf(ratio float64) int {
	if !(ratio > 0) {
		return 0
	}
	return min(max(int(math.Floor((math.Log2(ratio)-lowestOctave)*binsPerOctave)), 0), binCount-1)
}

func (d *distribution) reset() { *d = distribution{} }

// next returns the weight of a new sample.
func (d *distribution) next() float64 {
	if d.weight == 0 {
		d.weight = 1
	}
	d.weight /= 1 - forgetting
	d.stale = true
	if d.weight > maxWeight {
		for i := range d.weights {
			d.weights[i] /= d.weight
		}
		d.total /= d.weight
		d.weight = 1
	}
	return d.weight
}

func (d *distribution) add(ratio float64) {
	w := d.next()
	d.weights[binOf(ratio)] += w
	d.total += w
}

// addCensored adds a sample of which only a lower bound is known, if that is above the prediction: it is shared out over
// the bins above in proportion to their weight, or counts as the bound itself if all are empty.
func (d *distribution) addCensored(ratio float64) {
	if ratio < 1 {
		return
	}
	w, bin := d.next(), binOf(ratio)
	above := 0.0
	for _, v := range d.weights[bin:] {
		above += v
	}
	if above == 0 {
		d.weights[bin] += w
	} else {
		for i := bin; i < binCount; i++ {
			d.weights[i] *= 1 + w/above
		}
	}
	d.total += w
}

// update computes the tails and the quantile.
func (d *distribution) update() {
	if !d.stale {
		return
	}
	d.stale = false
	d.quantile = binTop[binCount-1]
	for i := binCount - 1; i >= 0; i-- {
		d.tailWeight[i] = d.tailWeight[i+1] + d.weights[i]
		d.tailSum[i] = d.tailSum[i+1] + d.weights[i]*binMiddle[i]
		if d.tailWeight[i+1] <= (1-highQuantile)*d.total {
			d.quantile = binTop[i]
		}
	}
}

// high returns the high quantile, 1 if nothing is known.
func (d *distribution) high() float64 {
	if d.total == 0 {
		return 1
	}
	d.update()
	return d.quantile
}

// remaining returns the expected remainder of a run that has lasted for the given ratio.
func (d *distribution) remaining(elapsed float64) float64 {
	d.update()
	first := 0
	if elapsed >= binTop[0] {
		first = binOf(elapsed) + 1 // The bin of elapsed counts as over.
	}
	if first >= binCount || d.tailWeight[first] < minTail*d.weight {
		return tailGrowth * elapsed
	}
	return max(0, d.tailSum[first]/d.tailWeight[first]-elapsed)
}
