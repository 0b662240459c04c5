package document

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestExamplesParse(t *testing.T) {
	for _, tc := range []struct {
		file  string
		dcs   int
		first string
	}{{"nile-current.toml", 3, "disputes"}, {"tsurumaki.toml", 4, "follow-up"}} {
		is := is.New(t)
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", tc.file))
		is.NoErr(err)
		d, err := Parse(data)
		is.NoErr(err)
		is.Equal(len(d.DataCentres), tc.dcs)
		is.Equal(len(d.Accounts), 8)
		is.Equal(d.Accounts[0].Name, tc.first)
		is.NoErr(Validate(d))
	}
}

const smallDocument = `team = "t"
data_centres = ["a", "b"]
[[account]]
name = "x"
rate = "90/min"
burst = 5
[[account]]
name = "y"
rate = 2.5
[[model]]
name = "m"
[[model.pool]]
data_centre = "a"
backends = ["10.0.0.1:80", "10.0.0.2:80"]
[[service]]
name = "s"
pool = [{ data_centre = "b", from_list = true, name = "p" }]
[[route]]
path = "/s/{id}"
method = "GET"
service = "s"
timeout = "1m30s"
max_body = "64 KiB"
`

func TestParseConvertsUnits(t *testing.T) {
	is := is.New(t)
	d, err := Parse([]byte(smallDocument))
	is.NoErr(err)
	is.Equal(d.Accounts[0].Rate, 1.5)
	is.Equal(d.Accounts[1].Rate, 2.5)
	is.Equal(d.Accounts[1].Burst, 1)
	is.Equal(d.Routes[0].Timeout, 90*time.Second)
	is.Equal(d.Routes[0].MaxBody, int64(64<<10))
	is.Equal(d.Services[0].Pools[0].FromList, true)
}

func TestEveryProblemIsReportedWithLineAndKey(t *testing.T) {
	is := is.New(t)
	bad := `team = 5
data_centres = ["a", "a"]
colour = "red"
[[account]]
name = "x"
rate = "20"
burst = 0
[[account]]
name = "x"
rate = "1/s"
keys = [
  { id = "k1", salt = "00", hash = "bp_k1_plain" },
  { id = "k1", salt = "00112233445566778899aabbccddeeff", hash = "sha256:12", owner = "me" },
]
[[route]]
path = "/a/*/b"
method = "FETCH"
service = "none"
timeout = 30
max_body = "64"
open = "yes"
accounts = ["z"]
[budget.default]
tokens = 9000000
`
	_, err := Parse([]byte(bad))
	var ps Problems
	is.True(errors.As(err, &ps))
	want := []string{
		"line 1: team: must be text",
		"line 2: data_centres[1]: \"a\" is listed twice",
		"line 3: colour: unknown key",
		"line 6: account[0].rate: must be a rate",
		"line 7: account[0].burst: must be a whole number",
		"line 9: account[1].name: \"x\" stands twice",
		"line 12: account[1].keys[0].salt: must hold",
		"line 12: account[1].keys[0].hash: must start with",
		"line 13: account[1].keys[1].id: the key's id stands twice",
		"line 13: account[1].keys[1].hash: must hold 64",
		"line 13: account[1].keys[1].owner: unknown key",
		"line 16: route[0].path: * may only",
		"line 17: route[0].method: \"FETCH\"",
		"line 18: route[0].service: there is no service",
		"line 19: route[0].timeout: must be a time",
		"line 20: route[0].max_body: must be a size",
		"line 21: route[0].open: must be true or false",
		"line 22: route[0].accounts[0]: there is no account",
		"line 24: budget.default.tokens: is above",
	}
	text := ps.Error()
	for _, w := range want {
		if !strings.Contains(text, w) {
			t.Errorf("missing %q", w)
		}
	}
	if len(ps) != len(want) {
		t.Errorf("%d problems, want %d:\n%s", len(ps), len(want), text)
	}
}

func TestSyntaxErrorHasLine(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte("team = \"t\"\nrate = = 3\n"))
	is.True(strings.HasPrefix(err.Error(), "line 2: "))
}

func TestCanonicalIgnoresOrderAndLayout(t *testing.T) {
	is := is.New(t)
	a, err := Parse([]byte(smallDocument))
	is.NoErr(err)
	other := strings.Replace(smallDocument, `["a", "b"]`, "[ \"b\",\n \"a\" ] # comment", 1)
	other = strings.Replace(other, `["10.0.0.1:80", "10.0.0.2:80"]`, `["10.0.0.2:80", "10.0.0.1:80"]`, 1)
	b, err := Parse([]byte(other))
	is.NoErr(err)
	is.Equal(a.Digest(), b.Digest())
	is.Equal(len(Diff(a, b)), 0)
}

func TestDiffReportsChangedPaths(t *testing.T) {
	is := is.New(t)
	a, err := Parse([]byte(smallDocument))
	is.NoErr(err)
	b, err := Parse([]byte(strings.Replace(strings.Replace(smallDocument, `"90/min"`, `3`, 1), `name = "y"`, `name = "z"`, 1)))
	is.NoErr(err)
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	text := strings.Join(lines, "\n")
	is.True(strings.Contains(text, `~ account["x"].rate: 1.5 -> 3`))
	is.True(strings.Contains(text, `- account["y"].rate = 2.5`))
	is.True(strings.Contains(text, `+ account["z"].rate = 2.5`))
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	key, hashed, err := NewKey()
	is.NoErr(err)
	id, ok := KeyID(key)
	is.True(ok)
	is.Equal(id, hashed.ID)
	is.True(VerifyKey(key, hashed))
	is.True(!VerifyKey(key+"x", hashed))
	is.True(!strings.Contains(hashed.Hash+hashed.Salt, key))
	rehashed, err := HashKey(key)
	is.NoErr(err)
	is.True(rehashed.Hash != hashed.Hash) // each hash has its own salt
	salt := []byte("sixteen bytes !!")
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(key))
	keyed := Key{ID: id, Salt: hex.EncodeToString(salt), Hash: "hmac-sha256:" + hex.EncodeToString(mac.Sum(nil))}
	is.True(VerifyKey(key, keyed))
	is.True(!VerifyKey(key+"x", keyed))
	is.True(!VerifyKey(key, Key{ID: id, Salt: keyed.Salt, Hash: keyed.Hash[len("hmac-"):]})) // wrong scheme
	for _, bad := range []string{"", "bp_", "bp_x", "bp__y", "sk_x_y"} {
		_, ok := KeyID(bad)
		is.True(!ok)
	}
}

func TestRouteMatching(t *testing.T) {
	for _, tc := range []struct {
		path, method, got string
		want              bool
	}{
		{"/a/{id}", "GET", "/a/1", true},
		{"/a/{id}", "GET", "/a/", false},
		{"/a/{id}", "GET", "/a/1/b", false},
		{"/a/*", "GET", "/a/1/b", true},
		{"/a/*", "GET", "/a", false},
		{"/a/*", "GET", "/a/../b", false},
		{"/a", "POST", "/a", false},
		{"/a", "*", "/a", true},
	} {
		is := is.New(t)
		is.Equal(Route{Path: tc.path, Method: tc.method}.Matches("GET", tc.got), tc.want)
	}
	is := is.New(t)
	is.True(Route{Path: "/a/b", Method: "*"}.Specificity() > Route{Path: "/a/{x}", Method: "GET"}.Specificity())
	is.True(Route{Path: "/a/{x}"}.Specificity() > Route{Path: "/a/*"}.Specificity())
}

func TestAddKeyPreservesRestOfDocument(t *testing.T) {
	for _, layout := range []string{
		"keys = []\n", "keys = [\n]\n", "", "# a comment\nweight = 2\n",
		"[[account.keys]]\nid = \"old\"\nsalt = \"00112233445566778899aabbccddeeff\"\nhash = \"sha256:" + strings.Repeat("ab", 32) + "\"\n",
	} {
		is := is.New(t)
		src := strings.Replace(smallDocument, "rate = 2.5\n", "rate = 2.5\n"+layout, 1)
		_, k, err := NewKey()
		is.NoErr(err)
		out, err := AddKey([]byte(src), "y", k)
		is.NoErr(err)
		d, err := Parse(out)
		is.NoErr(err)
		a, _ := d.Account("y")
		is.True(a.Keys[0] == k || a.Keys[len(a.Keys)-1] == k)
		is.Equal(strings.Contains(string(out), "# a comment"), strings.Contains(layout, "# a comment"))
	}
	is := is.New(t)
	_, err := AddKey([]byte(smallDocument), "nobody", Key{})
	is.True(err != nil)
}
