package turnlog

import (
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// envelopeBytes is the maximum size of what a stored record has beside its writer's name and its change: the framing, the
// sequence number, and the tags and lengths of the fields, those of a fragment included.
const envelopeBytes = 64

// maxBatchBytes bounds one append further than the store does. The store's time for an append is proportional to its size, so that
// larger ones gain nothing; they would hold more memory, in several copies, and take longer than firstAttemptTimeout.
const maxBatchBytes = 640 << 10

// recordSizes are the store's limits, without what each record of a writer has beside its change.
type recordSizes struct {
	// envelope is what each record has beside its change, change the maximum size of a change.
	envelope, change int
	// append is the maximum size of the records of one append.
	append int
}

func newRecordSizes(maxRecordBytes, maxAppendBytes int, writer string) recordSizes {
	envelope := len(writer) + envelopeBytes
	return recordSizes{
		envelope: envelope, change: max(maxRecordBytes-envelope, 1),
		append: min(maxAppendBytes, max(maxBatchBytes, maxRecordBytes+envelope)),
	}
}

// fragments is the number of records that a change of the given size is stored in.
func (s recordSizes) fragments(size int) int { return max((size+s.change-1)/s.change, 1) }

// stored is the size of a change in an append, over all its fragments.
func (s recordSizes) stored(size int) int { return size + s.fragments(size)*s.envelope }

// split returns the record itself if the store takes it, or its fragments.
func (s recordSizes) split(r *turnv1.Record) ([]*turnv1.Record, error) {
	count := s.fragments(proto.Size(r))
	if count == 1 {
		return []*turnv1.Record{r}, nil
	}
	b, err := proto.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a record")
	}
	out := make([]*turnv1.Record, count)
	for i := range out {
		n := min(s.change, len(b))
		out[i] = &turnv1.Record{Change: &turnv1.Record_Fragment{Fragment: &turnv1.Fragment{Index: int32(i), Count: int32(count), Data: b[:n]}}}
		b = b[n:]
	}
	return out, nil
}

// appends distributes records, in order, over as few appends as the store's limit allows.
func (s recordSizes) appends(records []*turnv1.Record) [][]*turnv1.Record {
	var out [][]*turnv1.Record
	size := 0
	for _, r := range records {
		n := proto.Size(r) + s.envelope
		if len(out) == 0 || size+n > s.append {
			out, size = append(out, nil), 0
		}
		out[len(out)-1] = append(out[len(out)-1], r)
		size += n
	}
	return out
}

// assembler puts records together that are stored in fragments, while the records of a partition are read in order.
type assembler struct {
	writer string
	count  int32
	next   int32
	data   []byte
}

// add returns the record that takes effect with a stored record, or nil if that is a fragment and others are missing.
func (a *assembler) add(r *turnv1.Record) *turnv1.Record {
	fragment := r.GetFragment()
	if fragment == nil {
		a.drop()
		return r
	}
	if fragment.Index == 0 {
		a.drop()
		a.writer, a.count = r.Writer, fragment.Count
	}
	if fragment.Index != a.next || fragment.Count != a.count || r.Writer != a.writer {
		// The first fragments have expired.
		a.drop()
		return nil
	}
	a.data = append(a.data, fragment.Data...)
	if a.next++; a.next < a.count {
		return nil
	}
	whole := &turnv1.Record{}
	err := proto.Unmarshal(a.data, whole)
	*a = assembler{}
	if err != nil {
		klog.ErrorS(err, "skipped a record in fragments that cannot be decoded", "writer", r.Writer)
		return nil
	}
	return whole
}

// drop forgets the fragments of a record that was not completed: its writer lost the partition in between.
func (a *assembler) drop() {
	if a.next > 0 {
		klog.InfoS("dropped an incomplete record", "writer", a.writer, "fragments", a.next, "of", a.count, "bytes", len(a.data))
	}
	*a = assembler{}
}

// checkEncodable returns an error if a record has a string that can't be encoded, so that it fails alone and not with the others
// of an append.
func checkEncodable(r *turnv1.Record) error {
	var ids []string
	switch c := r.Change.(type) {
	case *turnv1.Record_Granted:
		ids = []string{c.Granted.Program, c.Granted.Account}
	case *turnv1.Record_Completed:
		ids = []string{c.Completed.Program, c.Completed.Account, c.Completed.Turn, c.Completed.Previous, c.Completed.Backend}
	}
	for _, id := range ids {
		if !utf8.ValidString(id) {
			return errors.Newf("the id %.80q is not valid UTF-8", id)
		}
	}
	return nil
}
