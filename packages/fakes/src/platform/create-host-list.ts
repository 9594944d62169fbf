import { readMonotonicMs } from '@laburnumshift/clock';
import type { HostEntry } from '@laburnumshift/types';

/** A host list whose changes become visible after a lag. */
interface HostList {
  readonly setHosts: (hosts: readonly HostEntry[]) => void;
  readonly setLag: (ms: number) => void;
  readonly setStale: (stale: boolean) => void;
  readonly readHosts: () => { readonly revision: number; readonly hosts: readonly HostEntry[] };
}

/** Creates an empty host list. While it is stale, it stays as it was last visible. */
export function createHostList(initialLagMs: number): HostList {
  let lagMs = initialLagMs;
  let changes: { atMs: number; revision: number; hosts: readonly HostEntry[] }[] = [];
  let visible: { revision: number; hosts: readonly HostEntry[] } = { revision: 0, hosts: [] };
  let revision = 0;
  let stale = false;

  const refreshVisible = (): void => {
    if (stale) return;
    const now = readMonotonicMs();
    const due = changes.filter((change) => change.atMs + lagMs <= now);
    visible = due.at(-1) ?? visible;
    changes = changes.filter((change) => change.atMs + lagMs > now);
  };

  return {
    setHosts: (hosts) => {
      refreshVisible();
      revision += 1;
      changes.push({ atMs: readMonotonicMs(), revision, hosts });
    },
    setLag: (ms) => {
      refreshVisible();
      lagMs = ms;
    },
    setStale: (value) => {
      refreshVisible();
      stale = value;
    },
    readHosts: () => {
      refreshVisible();
      return { revision: visible.revision, hosts: visible.hosts };
    },
  };
}
