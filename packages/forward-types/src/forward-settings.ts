import type { ForwardBounds } from './forward-bounds.js';

/** Settings of a forwarding host. Addresses have the form `IP:port`. */
export interface ForwardSettings {
  /** Name of the host. */
  readonly host: string;
  readonly failureDomain: string;
  /** Address on which callers are served. */
  readonly callerAddress: string;
  /** Address on which readiness is served. */
  readonly readyAddress: string;
  /** Address on which metrics are served; `undefined` when they are not. */
  readonly metricsAddress: string | undefined;
  /** Address for datagrams between hosts and for reads of relayed cache events. */
  readonly sharingAddress: string;
  /** Processor cores available to the host; may be a fraction. */
  readonly cores: number;
  /** Memory of the machine for the process, bytes. */
  readonly memoryBytes: number;
  /** File descriptors of the machine for the process; `undefined` when it states no limit. */
  readonly maxDescriptors: number | undefined;
  /** Average time between unannounced ends of one engine, milliseconds; runs that cannot be sent again get backups where it is stated. */
  readonly engineLifeMs: number | undefined;
  /** Descriptors that callers may not take; derived from `maxDescriptors` when `undefined`. */
  readonly reservedDescriptors: number | undefined;
  /** Memory for the connections and calls of callers beside bodies, bytes; derived from `memoryBytes` when `undefined`. */
  readonly clientMemoryBytes: number | undefined;
  /** Bandwidth of the host's link, megabits per second. */
  readonly linkMbps: number;
  /** The whole system is starting for the first time. */
  readonly isFirstStart: boolean;
  readonly bounds: ForwardBounds;
  /** Interval at which servers renew their registrations, milliseconds. */
  readonly heartbeatMs: number;
}
