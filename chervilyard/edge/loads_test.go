package edge

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/placement"
)

func TestLoadsComeBack(t *testing.T) {
	var known targets
	known.names = map[uint32]string{short("a"): "a", short("b"): "b"}
	list := []placement.Load{{Target: "a", Open: 3, Waiting: 7000, Memory: 60_000}, {Target: "b", Open: 1}, {Target: "unlisted", Open: 9}}
	text, err := proto.Marshal(pack(list))
	if err != nil {
		t.Fatal(err)
	}
	var h fleet.Loads
	if err := proto.Unmarshal(text, &h); err != nil {
		t.Fatal(err)
	}
	if got := known.unpack(&h); !slices.Equal(got, list[:2]) {
		t.Errorf("unpacked %+v", got)
	}
	h.Memory = h.Memory[:1] // a torn message
	if got := known.unpack(&h); !slices.Equal(got, list[:1]) {
		t.Errorf("of a torn message %+v", got)
	}
	if got := known.unpack(nil); len(got) != 0 {
		t.Errorf("of none %+v", got)
	}
}
