package configcheck

const (
	// maxNearestLength is the longest name for which a similar one is looked for, in bytes.
	maxNearestLength = 64
	// maxNearestNames bounds the names that it is compared with.
	maxNearestNames = 4096
)

// Nearest returns the name that differs from the given one in the fewest letters, or "" if that is over a third of them.
func Nearest(name string, names []string) string {
	if len(name) > maxNearestLength || len(names) > maxNearestNames {
		return ""
	}
	best, bestDistance := "", len(name)/3+1
	for _, n := range names {
		if d := distance(name, n, bestDistance); d < bestDistance {
			best, bestDistance = n, d
		}
	}
	return best
}

// distance returns the number of bytes to insert, delete or replace to turn a into b, or limit if the lengths alone
// differ by that.
func distance(a, b string, limit int) int {
	if len(a)-len(b) >= limit || len(b)-len(a) >= limit {
		return limit
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
