import type { FakeServer } from './fake-server.js';
import type { PieceTable } from './piece-table.js';
import type { SharedLink } from './shared-link.js';
import type { StoreFaults } from './store-faults.js';

/** What the handlers of the fake store share. */
export interface StoreContext {
  readonly name: string;
  readonly server: FakeServer;
  readonly table: PieceTable;
  readonly link: SharedLink;
  readonly disk: SharedLink;
  readonly counters: { puts: number; reads: number; moves: number; deletes: number; linkBytes: number };
  readonly getFaults: () => StoreFaults;
  readonly setFaults: (patch: Partial<StoreFaults>) => void;
}
