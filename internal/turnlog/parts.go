package turnlog

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// envelopeBytes is the maximum size of what a stored record has beside its writer's name and its change: the framing, the
// sequence number, and the tags and lengths of the fields, those of a part included.
const envelopeBytes = 64

// recordSizes are the store's limits, without what each record of a writer has beside its change.
type recordSizes struct {
	// envelope is what each record has beside its change, change the maximum size of a change.
	envelope, change int
	// append is the maximum size of the records of one append.
	append int
}

func newRecordSizes(maxRecordBytes, maxAppendBytes int, writer string) recordSizes {
	envelope := len(writer) + envelopeBytes
	return recordSizes{envelope: envelope, change: max(maxRecordBytes-envelope, 1), append: maxAppendBytes}
}

// parts is the number of records that a change of the given size is stored in.
func (s recordSizes) parts(size int) int { return max((size+s.change-1)/s.change, 1) }

// stored is the size of a change in an append, over all its parts.
func (s recordSizes) stored(size int) int { return size + s.parts(size)*s.envelope }

// split returns an encoded change itself if it fits into a record of the store, or its encoded parts.
func (s recordSizes) split(change []byte) ([][]byte, error) {
	count := s.parts(len(change))
	if count == 1 {
		return [][]byte{change}, nil
	}
	out := make([][]byte, count)
	for i := range out {
		n := min(s.change, len(change))
		part := &turnv1.Part{Index: int32(i), Count: int32(count), Data: change[:n]}
		b, err := proto.Marshal(&turnv1.Record{Change: &turnv1.Record_Part{Part: part}})
		if err != nil {
			return nil, errors.Wrap(err, "encoding a part of a record")
		}
		out[i], change = b, change[n:]
	}
	return out, nil
}

// appends distributes the changes of a batch, in order, over as few appends as the store's limit allows.
func (s recordSizes) appends(batch []*entry) ([][][]byte, error) {
	var out [][][]byte
	size := 0
	for _, e := range batch {
		changes, err := s.split(e.change)
		if err != nil {
			return nil, err
		}
		for _, b := range changes {
			n := len(b) + s.envelope
			if len(out) == 0 || size+n > s.append {
				out, size = append(out, nil), 0
			}
			out[len(out)-1] = append(out[len(out)-1], b)
			size += n
		}
	}
	return out, nil
}

// assembler puts records together that are stored in parts, while the records of a partition are read in order.
type assembler struct {
	writer string
	count  int32
	next   int32
	data   []byte
}

// add returns the record that takes effect with a stored record, or nil if that is a part and others are missing.
func (a *assembler) add(r *turnv1.Record) *turnv1.Record {
	part := r.GetPart()
	if part == nil {
		a.drop()
		return r
	}
	if part.Index == 0 {
		a.drop()
		a.writer, a.count = r.Writer, part.Count
	}
	if part.Index != a.next || part.Count != a.count || r.Writer != a.writer {
		// The first parts have expired.
		a.drop()
		return nil
	}
	a.data = append(a.data, part.Data...)
	if a.next++; a.next < a.count {
		return nil
	}
	whole := &turnv1.Record{}
	err := proto.Unmarshal(a.data, whole)
	*a = assembler{}
	if err != nil {
		klog.ErrorS(err, "skipped a record in parts that cannot be decoded", "writer", r.Writer)
		return nil
	}
	return whole
}

// drop forgets the parts of a record that was not completed: its writer lost the partition in between.
func (a *assembler) drop() {
	if a.next > 0 {
		klog.InfoS("dropped an incomplete record", "writer", a.writer, "parts", a.next, "of", a.count, "bytes", len(a.data))
	}
	*a = assembler{}
}
