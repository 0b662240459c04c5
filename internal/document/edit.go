package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/tomlfile"
)

// AddKey adds a key to an account in the text of a document and returns the new text. Comments and layout are
// preserved. It fails if the result doesn't differ from the original by exactly this key.
func AddKey(src []byte, account string, k Key) ([]byte, error) {
	before, err := Parse(src)
	if err != nil {
		return nil, err
	}
	if _, ok := before.Account(account); !ok {
		return nil, errors.Newf("account %q does not exist", account)
	}
	lines := strings.SplitAfter(string(src), "\n")
	out, err := insertKey(lines, tomlfile.NewIndex(src), account, k)
	if err != nil {
		return nil, err
	}
	text := []byte(strings.Join(out, ""))
	after, err := Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, "cannot edit the account's keys automatically because of their layout in the document")
	}
	if a, _ := after.Account(account); !slices.Contains(a.Keys, k) || len(Diff(before, after)) != keyFields {
		return nil, errors.New("cannot edit the account's keys automatically because of their layout in the document")
	}
	return text, nil
}

// keyFields is the number of values that one key adds to a document.
const keyFields = 3

// insertKey adds a key to the account's existing inline list or to its [[account.keys]] tables, or else adds a new
// inline list after the account's name.
func insertKey(lines []string, index *tomlfile.Index, account string, k Key) ([]string, error) {
	name := fmt.Sprintf("%q", account)
	for i := 0; i < index.Count("account"); i++ {
		path := fmt.Sprintf("account[%d]", i)
		line, ok := index.Line(path + ".name")
		if !ok || !strings.Contains(lines[line-1], name) {
			continue
		}
		inline := fmt.Sprintf("{ id = %q, salt = %q, hash = %q }", k.ID, k.Salt, k.Hash)
		if l, ok := index.Line(path + ".keys"); ok {
			head, tail, _ := strings.Cut(lines[l-1], "[")
			return slices.Replace(slices.Clone(lines), l-1, l, head+"[\n  "+inline+","+tail), nil
		}
		if l, ok := index.Line(path + ".keys[0]"); ok {
			table := fmt.Sprintf("[[account.keys]]\nid = %q\nsalt = %q\nhash = %q\n\n", k.ID, k.Salt, k.Hash)
			return slices.Insert(slices.Clone(lines), l-1, table), nil
		}
		return slices.Insert(slices.Clone(lines), line, "keys = [\n  "+inline+",\n]\n"), nil
	}
	return nil, errors.Newf("no [[account]] table found for account %q", account)
}
