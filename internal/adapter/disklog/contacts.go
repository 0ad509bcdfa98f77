package disklog

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/samber/oops"
)

// contactsName is a file beside the log with addresses at which other hosts were
// reached. Its loss does no harm.
const contactsName = "contacts.json"

// PeerAddrs returns the addresses of other hosts that SavePeerAddrs wrote to a data
// folder, none if it never did.
func PeerAddrs(dir string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(dir, contactsName))
	if os.IsNotExist(err) {
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

// SavePeerAddrs writes the addresses of other hosts to a data folder.
func SavePeerAddrs(dir string, addrs []string) error {
	b, err := json.Marshal(addrs)
	if err != nil {
		return oops.Wrapf(err, "encode contacts")
	}
	return replace(filepath.Join(dir, contactsName), b)
}
