package indigospool

import "math"

// hashString returns the 64-bit FNV-1a hash of a string, passed through mix.
func hashString(text string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * 1099511628211
	}
	return mix(h)
}

// mix spreads the bits of a hash (the output step of SplitMix64).
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// hashFraction maps a hash to a number in [0, 1).
func hashFraction(h uint64) float64 { return float64(mix(h)>>11) / (1 << 53) }

// newJitterSeed returns the seed of a request's backoffs and slow-start decisions. It depends on the
// router's seed, the time of arrival, the object and the part, but not on the request's id.
func (r *Router) newJitterSeed(request *request) uint64 {
	return mix(r.seed^math.Float64bits(request.arrived)) + request.hash + uint64(request.Part)
}
