package loadshare

import "time"

const (
	// bytesPerSecond bounds what a holder sends of sums to all instances together.
	bytesPerSecond = 1 << 20
	// bytesPerServer is the size of one server's load in a response.
	bytesPerServer = 48
	// minSent and maxSent bound the servers of one response.
	minSent, maxSent = 4, 256
	// minSendInterval and maxSendInterval bound the interval between two responses with sums to one instance.
	minSendInterval = 250 * time.Millisecond
	maxSendInterval = time.Second
	// fullAge is the age up to which sums count in full, maxAge that from which they don't count.
	fullAge = 700 * time.Millisecond
	maxAge  = 2 * time.Second
)

// Budget returns for how many servers a holder sends the sums to each of its instances, and how often, within its budget of
// bytes.
func Budget(servers, instances int) (sent int, interval time.Duration) {
	affordable := bytesPerSecond / (bytesPerServer * max(instances, 1))
	sent = min(servers, max(min(affordable, maxSent), minSent))
	seconds := float64(sent) / float64(max(affordable, 1))
	return sent, min(max(time.Duration(seconds*float64(time.Second)), minSendInterval), maxSendInterval)
}

// Weight returns how much sums of an age count, from 1 to 0: they give way to what an instance sees itself.
func Weight(age time.Duration) float64 {
	return min(max(1-float64(age-fullAge)/float64(maxAge-fullAge), 0), 1)
}
