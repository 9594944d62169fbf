/** Certificate and key in PEM form. */
export interface TlsFiles {
  readonly cert: Buffer;
  readonly key: Buffer;
}
