/** A hashed API key of a client account with its validity period; the key itself is never stored. */
export interface AccountKey {
  /** SHA-256 of the key, 64 hexadecimal digits. */
  readonly sha256: string;
  /** Start of validity, milliseconds since the epoch; absent means always. */
  readonly notBefore?: number | undefined;
  /** End of validity, milliseconds since the epoch; absent means no end. */
  readonly notAfter?: number | undefined;
}
