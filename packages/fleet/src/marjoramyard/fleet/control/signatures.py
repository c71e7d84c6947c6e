"""Ed25519 signatures of operators."""

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from marjoramyard.coordination.governance.bundle import BundleView
from marjoramyard.kernel.errors import Failure, FailureKind, failure


def make_private_key() -> str:
    """Returns a new private key, in hex."""
    return (
        Ed25519PrivateKey.generate()
        .private_bytes(
            serialization.Encoding.Raw,
            serialization.PrivateFormat.Raw,
            serialization.NoEncryption(),
        )
        .hex()
    )


def public_key_of(private_key: str) -> str:
    """Returns the public key of a private key, both in hex."""
    key = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_key))
    return key.public_key().public_bytes_raw().hex()


def sign(private_key: str, data: bytes) -> str:
    """Returns the signature of the data, in hex."""
    key = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(private_key))
    return key.sign(data).hex()


def is_valid(public_key: str, signature: str, data: bytes) -> bool:
    """Returns whether a signature of the data matches a public key.

    Malformed keys and signatures in hex do not match.
    """
    try:
        key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(public_key))
        key.verify(bytes.fromhex(signature), data)
    except (InvalidSignature, ValueError):
        return False
    return True


class OperatorKeys:
    """The public keys of operators and their roles.

    The keys are those of the bundle in force; until the first one, those of
    the setting `bootstrap_operators`, which have every role.
    """

    def __init__(self, bootstrap: dict[str, str]):
        self.bootstrap = bootstrap

    def check(
        self,
        view: BundleView,
        operator: str,
        role: str,
        signature: str,
        data: bytes,
    ) -> Failure | None:
        """Checks an operator's signature.

        Args:
            view: The bundle in force.
            operator: The name of the operator.
            role: The role that the operator must have.
            signature: The signature, in hex.
            data: The signed bytes.

        Returns:
            Why the signature is refused; None if it is valid.
        """
        key = self.bootstrap.get(operator) if view.version == 0 else None
        known = view.operators.get(operator)
        if known is not None and role in known.roles:
            key = known.public_key
        if key is None:
            return failure(
                FailureKind.INVALID_SIGNATURE,
                f"{operator} does not have the role {role}; sign as an "
                "operator who has it, or add the role to the bundle first",
            )
        if not is_valid(key, signature, data):
            return failure(
                FailureKind.INVALID_SIGNATURE,
                f"the signature does not match {operator}'s key; sign with "
                "the key that the bundle names",
            )
        return None
