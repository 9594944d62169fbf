import type { NodeSettings } from '@laburnumshift/types';

/** Settings of the caller-facing server. */
export interface CallerServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly limits: NodeSettings['limits'];
  /** Contents of a PEM pair; absent means plain HTTP. */
  readonly tls?: { readonly cert: string | Buffer; readonly key: string | Buffer } | undefined;
  /** Time for a caller to send its headers, milliseconds. */
  readonly headersTimeoutMs?: number | undefined;
  /** Time for a caller to send its whole request, milliseconds. */
  readonly requestTimeoutMs?: number | undefined;
  /** Time that a connection without a request is kept, milliseconds. */
  readonly idleTimeoutMs?: number | undefined;
  /** Time that a caller may stop reading while its buffer is full, milliseconds. */
  readonly stallTimeoutMs?: number | undefined;
}
