package disklog

import (
	"encoding/json"
	"errors"
	"io/fs"

	"github.com/samber/oops"
)

// contactsName is a file beside the log with addresses at which other hosts were
// reached. Its loss does no harm.
const contactsName = "contacts.json"

// PeerAddrs returns the addresses of other hosts that SavePeerAddrs wrote, none if it
// never did.
func (f Folder) PeerAddrs() ([]string, error) {
	b, err := f.fs().ReadFile(f.path(contactsName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, oops.Wrapf(err, "read contacts")
	}
	var addrs []string
	if err := json.Unmarshal(b, &addrs); err != nil {
		return nil, oops.Wrapf(err, "decode contacts")
	}
	return addrs, nil
}

// SavePeerAddrs writes the addresses of other hosts.
func (f Folder) SavePeerAddrs(addrs []string) error {
	b, err := json.Marshal(addrs)
	if err != nil {
		return oops.Wrapf(err, "encode contacts")
	}
	return f.replace(f.path(contactsName), b)
}
