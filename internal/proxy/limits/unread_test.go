package limits

import (
	"testing"

	"pgregory.net/rapid"
)

// TestUnreadAccount checks that only stalled clients are disconnected, that those which read
// nothing for Idle always are, and that above the limit the held bytes come down to 0.80 of
// Total unless only clients that read are left.
func TestUnreadAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := UnreadAccount{Total: 1 << 20, Idle: 20_000}
		var list []Unread
		for i := range rapid.IntRange(0, 60).Draw(t, "clients") {
			list = append(list, Unread{Index: i, Bytes: rapid.Int64Range(0, 200<<10).Draw(t, "bytes"), StalledFor: rapid.Float64Range(0, 25_000).Draw(t, "still")})
		}
		all := append([]Unread(nil), list...)
		disconnect := account.Update(list)
		disconnected, left, notStalled := map[int]bool{}, account.Held, int64(0)
		for _, client := range disconnect {
			if disconnected[client.Index] {
				t.Fatalf("client %d is returned twice", client.Index)
			}
			disconnected[client.Index] = true
			left -= client.Bytes
		}
		for _, client := range all {
			switch {
			case client.Bytes == 0 && disconnected[client.Index]:
				t.Fatalf("%+v is disconnected although the kernel holds nothing for it", client)
			case client.Bytes > 0 && client.StalledFor >= account.Idle && !disconnected[client.Index]:
				t.Fatalf("%+v is idle and not disconnected", client)
			case !IsStalled(client.StalledFor) && disconnected[client.Index]:
				t.Fatalf("%+v is disconnected although it is not stalled", client)
			case !IsStalled(client.StalledFor):
				notStalled += client.Bytes
			case account.Held < 900<<10 && client.StalledFor < account.Idle && disconnected[client.Index]:
				t.Fatalf("%+v is disconnected although the limit is not reached", client)
			}
		}
		if left > max(notStalled, 922<<10) {
			t.Fatalf("%d bytes are left, %d of them for clients that are not stalled; want at most these or %d", left, notStalled, 922<<10)
		}
	})
	free := UnreadAccount{}
	if cut := free.Update([]Unread{{Bytes: 1 << 40, StalledFor: -1}}); len(cut) > 0 || free.Room(0) != 0 || free.Room(512<<10) != 512<<10 {
		t.Errorf("an account without a limit disconnects %v, and has room for %d and %d bytes of 0 and %d", cut, free.Room(0), free.Room(512<<10), 512<<10)
	}
	big := UnreadAccount{Total: 160 << 20, Held: 48 << 20}
	if n := big.Room(512 << 10); n != 384<<10 {
		t.Errorf("48 of 160 MiB held: room of %d bytes, want %d", n, 384<<10)
	}
	half := UnreadAccount{Total: 64 << 20, Held: 32 << 20}
	if n := half.Room(512 << 10); n != 128<<10 {
		t.Errorf("32 of 64 MiB held: room of %d bytes, want %d", n, 128<<10)
	}
}
