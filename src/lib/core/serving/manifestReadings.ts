/** Properties of a manifest of weights that can be checked without its pieces. */

/** Digest of a piece: SHA-256 in hexadecimal. */
export const DIGEST_PATTERN = /^[0-9a-f]{64}$/i;
