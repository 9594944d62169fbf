import type { NodeSettings } from '@laburnumshift/types';

/** Settings of the caller-facing server. */
export interface CallerServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** TCP port to listen on; 0 selects a free port. */
  readonly port: number;
  readonly limits: NodeSettings['limits'];
  /** Contents of a certificate and its key in PEM format. The server speaks plain HTTP when this is absent. */
  readonly tls?: { readonly cert: string | Buffer; readonly key: string | Buffer } | undefined;
  /** Time in which a caller must send its headers, milliseconds; 10 s by default. */
  readonly headersTimeoutMs?: number | undefined;
  /** Time in which a caller must send its whole request, milliseconds; 30 s by default. */
  readonly requestTimeoutMs?: number | undefined;
  /** How long a connection without a request stays open, milliseconds; 75 s by default. */
  readonly idleTimeoutMs?: number | undefined;
  /**
   * How long a caller may stop reading while its buffer is full before it is disconnected, milliseconds; 30 s by default.
   */
  readonly stallTimeoutMs?: number | undefined;
}
