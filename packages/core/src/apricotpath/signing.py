"""Ed25519 keys, key delegation, signed envelopes and signed operator requests."""

import base64
import binascii
import hashlib
import json
import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from apricotpath.errors import InputError, SignatureError
from apricotpath.ids import KeyId
from apricotpath.jsontext import json_bytes

PUBLIC_KEY_BYTES = 32
KEY_ID_BYTES = 16
# An envelope must fit into one store value (1 MB) and one frame (1 MiB).
MAX_ENVELOPE_BYTES = 768 << 10
MAX_CHAIN = 16
# Maximum difference between an operator's clock and an entry's.
CLOCK_SKEW_S = 30.0
# Nonces that one entry keeps; further requests within the replay window are rejected.
MAX_NONCES = 20_000
MAX_NONCE_CHARACTERS = 64
SCHEME = "Apricotpath"

# Domain separation: a signature made for one use is not valid for another.
_ENVELOPE = b"apricotpath envelope 1\0"
_DELEGATION = b"apricotpath delegation 1\0"
_REQUEST = b"apricotpath request 1\0"


@dataclass(frozen=True, slots=True)
class Delegation:
    """Statement signed by an older key (`by`) that a new public key is to be trusted."""

    public_key: str
    by: KeyId
    signature: str


@dataclass(frozen=True, slots=True)
class SigningKey:
    """A private key and its chain of delegations from a key in the settings."""

    private: Ed25519PrivateKey
    chain: tuple[Delegation, ...] = ()

    @property
    def public_text(self) -> str:
        """Public key in the form used in `trusted_keys`: base64 of 32 bytes."""
        return _encode(
            self.private.public_key().public_bytes(
                serialization.Encoding.Raw, serialization.PublicFormat.Raw
            )
        )

    @property
    def key_id(self) -> KeyId:
        """Id of the public key."""
        return key_id(self.public_text)

    def sign(self, prefix: bytes, data: bytes) -> str:
        """Return the base64 signature of data; `prefix` identifies the use."""
        return _encode(self.private.sign(prefix + data))


@dataclass(frozen=True, slots=True)
class SignedEnvelope:
    """Payload bytes with their signature."""

    payload: bytes
    key: KeyId
    signature: str
    chain: tuple[Delegation, ...] = ()

    def to_bytes(self) -> bytes:
        """Return the envelope as JSON."""
        value = {
            "payload": _encode(self.payload),
            "key": self.key,
            "signature": self.signature,
            "chain": chain_to_json(self.chain),
        }
        return json_bytes(value)


@dataclass(frozen=True, slots=True)
class Trust:
    """Trusted public keys by id, and the ids of revoked keys."""

    keys: Mapping[KeyId, str]
    revoked: frozenset[KeyId] = frozenset()

    @classmethod
    def of(cls, texts: Sequence[str], revoked: Sequence[KeyId] = ()) -> "Trust":
        """Create it from public keys in base64; raises SignatureError."""
        return cls({key_id(text): text for text in texts}, frozenset(revoked))

    def extended(self, chain: Sequence[Delegation]) -> dict[KeyId, str]:
        """Return the trusted keys and those that a chain adds, without revoked ones.

        A delegation by an unknown or revoked key is skipped. Raises
        SignatureError if a signature is wrong or the chain is too long.
        """
        if len(chain) > MAX_CHAIN:
            raise SignatureError(f"the delegation chain is longer than {MAX_CHAIN} keys")
        trusted = {key: text for key, text in self.keys.items() if key not in self.revoked}
        for item in chain:
            issuer = trusted.get(item.by)
            new = key_id(item.public_key)
            if issuer is None or new in self.revoked:
                continue
            _verify(issuer, _DELEGATION + _decode(item.public_key), item.signature)
            trusted[new] = item.public_key
        return trusted


@dataclass(frozen=True, slots=True)
class RequestProof:
    """Credentials of one operator request; `time_ms` is Unix time in milliseconds."""

    key: KeyId
    time_ms: int
    nonce: str
    signature: str
    chain: tuple[Delegation, ...] = ()


def generate_key() -> SigningKey:
    """Generate a new key without delegations."""
    return SigningKey(Ed25519PrivateKey.generate())


def rotate_key(old: SigningKey) -> SigningKey:
    """Generate a new key with a delegation by the old one."""
    new = generate_key()
    signature = old.sign(_DELEGATION, _decode(new.public_text))
    return SigningKey(new.private, (*old.chain, Delegation(new.public_text, old.key_id, signature)))


def key_id(public_text: str) -> KeyId:
    """Return the id of a public key in base64, or raise SignatureError."""
    raw = _decode(public_text)
    if len(raw) != PUBLIC_KEY_BYTES:
        raise SignatureError("a public key must be the base64 form of 32 bytes")
    return KeyId(hashlib.sha256(raw).hexdigest()[: 2 * KEY_ID_BYTES])


def save_key(key: SigningKey, path: Path) -> None:
    """Write a key (PEM, mode 600) and its chain file; raises InputError if a file exists."""
    pem = key.private.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    write_private(path, pem)
    if key.chain:
        write_private(chain_path(path), json.dumps(chain_to_json(key.chain), indent=2).encode())


def write_private(path: Path, data: bytes) -> None:
    """Create a file that only its owner can read; raises InputError if it exists."""
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
    except OSError as exc:
        raise InputError(f"{path}: cannot be written: {exc.strerror}") from exc


def load_key(path: Path) -> SigningKey:
    """Read a key file and its chain file.

    Raises SignatureError if others can read the file or it is no Ed25519 key.
    """
    try:
        mode = path.stat().st_mode & 0o777
        if mode & 0o077:
            raise SignatureError(f"{path}: mode {mode:o} lets others read the key; use 600")
        private = serialization.load_pem_private_key(path.read_bytes(), password=None)
    except OSError as exc:
        raise SignatureError(f"{path}: cannot be read: {exc.strerror}") from exc
    except (ValueError, TypeError) as exc:
        raise SignatureError(f"{path}: is not a private key in PEM form") from exc
    if not isinstance(private, Ed25519PrivateKey):
        raise SignatureError(f"{path}: is not an Ed25519 key")
    chain = chain_path(path)
    if not chain.exists():
        return SigningKey(private)
    return SigningKey(private, chain_from_json(_load_json(chain.read_bytes())))


def chain_path(path: Path) -> Path:
    """Return the path of the file with the delegation chain of a key file."""
    return path.with_name(path.name + ".chain")


def chain_to_json(chain: Sequence[Delegation]) -> list[dict[str, str]]:
    """Return a chain as JSON values."""
    return [
        {"public_key": item.public_key, "by": item.by, "signature": item.signature}
        for item in chain
    ]


def chain_from_json(value: Any) -> tuple[Delegation, ...]:
    """Return a chain from JSON values, or raise SignatureError."""
    if not isinstance(value, list) or len(value) > MAX_CHAIN:
        raise SignatureError(f"a delegation chain must be a list of at most {MAX_CHAIN} items")
    return tuple(
        Delegation(
            _required_text(item, "public_key"),
            KeyId(_required_text(item, "by")),
            _required_text(item, "signature"),
        )
        for item in value
    )


def sign_envelope(payload: bytes, key: SigningKey) -> SignedEnvelope:
    """Sign a payload and return the envelope."""
    return SignedEnvelope(payload, key.key_id, key.sign(_ENVELOPE, payload), key.chain)


def parse_envelope(data: bytes) -> SignedEnvelope:
    """Parse an envelope from JSON without verifying its signature; raises SignatureError."""
    if len(data) > MAX_ENVELOPE_BYTES:
        raise SignatureError(f"an envelope may have at most {MAX_ENVELOPE_BYTES} bytes")
    value = _load_json(data)
    return SignedEnvelope(
        _decode(_required_text(value, "payload")),
        KeyId(_required_text(value, "key")),
        _required_text(value, "signature"),
        chain_from_json(value.get("chain", [])),
    )


def check_envelope(envelope: SignedEnvelope, trust: Trust) -> bytes:
    """Return the payload if a trusted key signed it, or raise SignatureError."""
    public = _trusted_public_key(envelope.key, trust, envelope.chain)
    _verify(public, _ENVELOPE + envelope.payload, envelope.signature)
    return envelope.payload


def sign_request(
    key: SigningKey, method: str, target: str, body: bytes, time_ms: int, nonce: str
) -> dict[str, str]:
    """Return the authentication headers of a request; `target` is path and query as sent."""
    signature = key.sign(_REQUEST, _signed_request_bytes(method, target, body, time_ms, nonce))
    fields = f'key="{key.key_id}", time="{time_ms}", nonce="{nonce}", signature="{signature}"'
    headers = {"Authorization": f"{SCHEME} {fields}"}
    if key.chain:
        chain = json_bytes(chain_to_json(key.chain))
        headers["Apricotpath-Chain"] = _encode(chain)
    return headers


def parse_proof(authorization: str, chain: str = "") -> RequestProof:
    """Parse the credentials in a request's headers; raises SignatureError."""
    scheme, _, rest = authorization.partition(" ")
    if scheme != SCHEME:
        raise SignatureError("the request carries no Apricotpath credentials")
    values = {}
    for part in rest.split(","):
        name, _, value = part.strip().partition("=")
        values[name] = value.strip('"')
    time_text, nonce = values.get("time", ""), values.get("nonce", "")
    if not time_text.isascii() or not time_text.isdecimal() or len(time_text) > 16:
        raise SignatureError("the time in the credentials is not a number of milliseconds")
    if not 1 <= len(nonce) <= MAX_NONCE_CHARACTERS:
        raise SignatureError("the nonce in the credentials is missing or too long")
    delegations = chain_from_json(_load_json(_decode(chain))) if chain else ()
    return RequestProof(
        KeyId(_required_text(values, "key")),
        int(time_text),
        nonce,
        _required_text(values, "signature"),
        delegations,
    )


@dataclass(slots=True)
class NonceCache:
    """Nonces of accepted requests that could still be replayed."""

    seen: dict[tuple[KeyId, str], int] = field(default_factory=dict)

    def add(self, key: KeyId, nonce: str, time_ms: int, now_ms: int) -> None:
        """Store a nonce, or raise SignatureError if it was used before or the cache is full."""
        oldest = now_ms - int(2 * CLOCK_SKEW_S * 1000)
        if len(self.seen) >= MAX_NONCES:
            self.seen = {item: at for item, at in self.seen.items() if at >= oldest}
        if (key, nonce) in self.seen:
            raise SignatureError("the request was received before", rule="replay")
        if len(self.seen) >= MAX_NONCES:
            raise SignatureError("too many signed requests within the clock skew", rule="replay")
        self.seen[(key, nonce)] = time_ms


def check_request(
    proof: RequestProof,
    method: str,
    target: str,
    body: bytes,
    trust: Trust,
    now_ms: int,
    nonces: NonceCache,
) -> KeyId:
    """Verify a request and return the key that signed it, or raise SignatureError.

    The nonce is stored only after the signature was verified, so that requests
    without a trusted key cannot fill the cache.
    """
    if abs(now_ms - proof.time_ms) > CLOCK_SKEW_S * 1000:
        raise SignatureError(
            f"the request's time differs from the entry's by more than {CLOCK_SKEW_S:g} s",
            rule="clock skew",
        )
    public = _trusted_public_key(proof.key, trust, proof.chain)
    text = _signed_request_bytes(method, target, body, proof.time_ms, proof.nonce)
    _verify(public, _REQUEST + text, proof.signature)
    nonces.add(proof.key, proof.nonce, proof.time_ms, now_ms)
    return proof.key


def _signed_request_bytes(method: str, target: str, body: bytes, time_ms: int, nonce: str) -> bytes:
    digest = hashlib.sha256(body).hexdigest()
    # JSON separates the fields unambiguously whatever characters they contain.
    return json.dumps([method.upper(), target, digest, time_ms, nonce]).encode()


def _trusted_public_key(key: KeyId, trust: Trust, chain: Sequence[Delegation]) -> str:
    if key in trust.revoked:
        raise SignatureError(f"key {key} is revoked", rule="revoked_keys")
    public = trust.extended(chain).get(key)
    if public is None:
        raise SignatureError(f"key {key} is not trusted", rule="trusted_keys")
    return public


def _verify(public_text: str, data: bytes, signature: str) -> None:
    try:
        Ed25519PublicKey.from_public_bytes(_decode(public_text)).verify(_decode(signature), data)
    except (InvalidSignature, ValueError) as exc:
        raise SignatureError("a signature does not match", rule="signature") from exc


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def _decode(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as exc:
        raise SignatureError("a key, signature or payload is not valid base64") from exc


def _load_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise SignatureError("the signed data is not valid JSON") from exc


def _required_text(value: Any, name: str) -> str:
    found = value.get(name) if isinstance(value, dict) else None
    if not isinstance(found, str) or not found:
        raise SignatureError(f"the signed data has no field {name!r}")
    return found
