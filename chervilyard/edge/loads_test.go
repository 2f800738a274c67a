package edge

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/placement"
)

func TestLoadsRoundTrip(t *testing.T) {
	var known targetList
	known.byHash = map[uint32]string{targetHash("a"): "a", targetHash("b"): "b"}
	list := []placement.Load{
		{Target: "a", Open: 3, WaitingTokens: 7000, MemoryTokens: 60_000, Answered: 12}, {Target: "b", Open: 1, Answered: 1, Failed: 300},
		{Target: "unlisted", Open: 9},
	}
	encoded, err := proto.Marshal(encodeLoads(list))
	if err != nil {
		t.Fatal(err)
	}
	var h fleet.Loads
	if err := proto.Unmarshal(encoded, &h); err != nil {
		t.Fatal(err)
	}
	if got := known.decodeLoads(&h); !slices.Equal(got, list[:2]) {
		t.Errorf("decoded as %+v", got)
	}
	h.Memory = h.Memory[:1] // a truncated message
	if got := known.decodeLoads(&h); !slices.Equal(got, list[:1]) {
		t.Errorf("truncated message decoded as %+v", got)
	}
	h.Memory = append(h.Memory, 0)
	h.Failed = nil // from an instance of an older version
	if got := known.decodeLoads(&h); len(got) != 2 || got[1] != (placement.Load{Target: "b", Open: 1}) {
		t.Errorf("message without outcomes decoded as %+v", got)
	}
	if got := known.decodeLoads(nil); len(got) != 0 {
		t.Errorf("nil message decoded as %+v", got)
	}
}
