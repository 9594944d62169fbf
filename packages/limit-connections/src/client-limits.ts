/** What all callers together may take of the machine. */
export interface ClientLimits {
  /** Descriptors for the connections of callers and for those to backend servers; infinite when the machine states no limit. */
  readonly maxDescriptors: number;
  /** Memory of connections, calls beside their bodies, and answers that are not read, bytes. */
  readonly maxBytes: number;
}
