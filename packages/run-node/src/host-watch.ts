import type { HostEntry } from '@laburnumshift/types';

/** The platform's host list as this node last received it, limited to nodes and leaving backend servers. */
export interface HostWatch {
  /** Returns the last list that was read or relayed, or `undefined` before the first one. */
  readonly listHosts: () => readonly HostEntry[] | undefined;
  /** Returns the names of the leaving backend servers. */
  readonly getLeaving: () => ReadonlySet<string>;
  /** Registers a handler that is called with the names of the leaving servers after each change of the list. */
  readonly onChange: (handler: (leaving: ReadonlySet<string>) => void) => void;
  readonly close: () => void;
}
