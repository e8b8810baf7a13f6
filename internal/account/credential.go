package account

import "crypto/sha256"

// Credential is what a caller presents to authenticate: KeyHash, Missing, Malformed or Repeated. A nil Credential is the same as
// Missing.
type Credential interface{ credential() }

// KeyHash is the hash of a key. Keys are hashed as soon as they are read, so that they occur in no log or message.
type KeyHash [sha256.Size]byte

// Missing means that the caller presented nothing.
type Missing struct{}

// Malformed means that the caller presented something that is not a key.
type Malformed struct{}

// Repeated means that the caller presented more than one key, or one several times.
type Repeated struct{}

func (KeyHash) credential()   {}
func (Missing) credential()   {}
func (Malformed) credential() {}
func (Repeated) credential()  {}

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }
