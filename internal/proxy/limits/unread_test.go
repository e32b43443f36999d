package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// TestUnreadAccount: a client that reads something is never cut before it idles, one that
// idles always is, and past the limit it comes down to 0.80 unless only clients that read are
// left.
func TestUnreadAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := UnreadAccount{Total: 1 << 20, Idle: 20_000}
		var list []Unread
		for i := range rapid.IntRange(0, 60).Draw(t, "clients") {
			list = append(list, Unread{Index: i, Bytes: rapid.Int64Range(0, 200<<10).Draw(t, "bytes"), StalledFor: rapid.Float64Range(0, 25_000).Draw(t, "still")})
		}
		all := append([]Unread(nil), list...)
		cut := account.Update(list)
		gone, left, moving := map[int]bool{}, account.Held, int64(0)
		for _, client := range cut {
			if gone[client.Index] {
				t.Fatalf("%d is cut twice", client.Index)
			}
			gone[client.Index] = true
			left -= client.Bytes
		}
		for _, client := range all {
			switch {
			case client.Bytes == 0 && gone[client.Index]:
				t.Fatalf("%+v is cut, and holds nothing", client)
			case client.Bytes > 0 && client.StalledFor >= account.Idle && !gone[client.Index]:
				t.Fatalf("%+v is left", client)
			case !IsStalled(client.StalledFor) && gone[client.Index]:
				t.Fatalf("%+v reads something, and is cut", client)
			case !IsStalled(client.StalledFor):
				moving += client.Bytes
			case account.Held < 900<<10 && client.StalledFor < account.Idle && gone[client.Index]:
				t.Fatalf("%+v is cut although the kernel may hold it", client)
			}
		}
		if left > max(moving, 922<<10) {
			t.Fatalf("%d bytes are left, %d of them of clients that read some", left, moving)
		}
	})
	free := UnreadAccount{}
	if cut := free.Update([]Unread{{Bytes: 1 << 40, StalledFor: -1}}); len(cut) > 0 || free.Room(0) != 0 || free.Room(512<<10) != 512<<10 {
		t.Error("no limit is set, and one is kept")
	}
	big := UnreadAccount{Total: 160 << 20, Held: 48 << 20}
	if n := big.Room(512 << 10); n != 384<<10 {
		t.Errorf("room of %d", n)
	}
	half := UnreadAccount{Total: 64 << 20, Held: 32 << 20}
	if n := half.Room(512 << 10); n != 128<<10 {
		t.Errorf("room of %d", n)
	}
}
