//! The encoding of frames between linenthread's own programs, and proofs that a peer knows a shared secret.
//!
//! A frame consists of its length in four bytes, one byte for its kind, and fields; all numbers are big-endian. This
//! crate encodes and decodes fields, splits a stream into frames, and makes and verifies proofs. It does not
//! interpret frames: they are defined by the crates that use it (`linenthread-link`, `linenthread-fleet`). Records on
//! disk and values in the fleet's record use the same encoding of fields.
//!
//! Start reading at [`Encoder`] and [`Decoder`]. Connections use [`encode_frame`] and [`drain_frames`], and [`Secrets`]
//! makes and verifies proofs.

mod decoder;
mod encoder;
mod proof;
mod stream;

pub use decoder::{DecodeError, Decoder};
pub use encoder::{Encoder, encode_frame};
pub use proof::{
    MIN_SECRET_LENGTH, Nonce, Proof, ProofDomain, SecretError, SecretIndex, Secrets, without_proof,
};
pub use stream::{FirstFrame, LENGTH_BYTES, drain_frames, first_frame};
