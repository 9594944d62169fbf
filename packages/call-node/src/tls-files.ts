/** Contents of the certificate file and the key file, PEM. */
export interface TlsFiles {
  readonly cert: Buffer;
  readonly key: Buffer;
}
