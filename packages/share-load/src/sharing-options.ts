import type { EngineBoard } from '@laburnumshift/track-engines';

/** Options of the sharing of loads. */
export interface SharingOptions {
  /** `IP:port` for datagrams. */
  readonly address: string;
  readonly host: string;
  /** Wall-clock milliseconds of this process's start. */
  readonly bornMs: number;
  readonly board: Pick<EngineBoard, 'listLoads'>;
  /** `IP:port` of the other hosts. */
  readonly listPeers: () => readonly string[];
}
