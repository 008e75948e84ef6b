package setting

// Secrets holds keys that all nodes of a fleet share. Environment variables are the safer way to set them, since other users of the machine
// can see the flags of a process.
type Secrets struct {
	Session []string `long:"session-secret" env:"MONSOONRAIL_SESSION_SECRETS" env-delim:"," description:"signs session tokens, 16 bytes or more; the first signs, all are accepted (required)"`
	Peer    string   `long:"peer-secret" env:"MONSOONRAIL_PEER_SECRET" description:"authenticates nodes to each other, 16 bytes or more (required)"`
	Issue   []string `long:"issue-secret" env:"MONSOONRAIL_ISSUE_SECRETS" env-delim:"," description:"signs issued idempotency keys, 16 bytes or more; the first signs, all are accepted (required)"`
	// Operators lists operators' keys as "name:role:hash": role is view or operate, hash the SHA-256 sum of the key in hexadecimal.
	Operators []string `long:"operator" env:"MONSOONRAIL_OPERATORS" env-delim:"," description:"an operator's key as name:role:sha256, role view or operate; may be repeated"`
}

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

func (s *Secrets) check() []error {
	faults := checkSecrets("session-secret", s.Session)
	faults = append(faults, checkSecrets("issue-secret", s.Issue)...)
	return append(faults, checkSecrets("peer-secret", []string{s.Peer})...)
}

func checkSecrets(flag string, secrets []string) []error {
	if len(secrets) == 0 {
		return []error{badSetting(flag, "", "at least one secret of 16 bytes or more")}
	}
	for _, secret := range secrets {
		if len(secret) < minSecretBytes {
			return []error{badSetting(flag, "", "16 bytes or more")}
		}
	}
	return nil
}
