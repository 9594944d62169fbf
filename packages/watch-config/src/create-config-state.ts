import { compileConfig } from '@laburnumshift/check-declarations';
import { createLogger } from '@laburnumshift/logger';
import type { Config, ConfigHead, ConfigSegment } from '@laburnumshift/types';

/** Generations whose segment hashes are remembered, so that a peer a little behind gets only what it lacks. */
const REMEMBERED_HEADS = 16;

/** The head in force with its content. */
interface ConfigState {
  readonly getConfig: () => Config | undefined;
  readonly getHead: () => ConfigHead | undefined;
  readonly getGeneration: () => number;
  /** Contents of the head in force, by hash. */
  readonly getSegments: () => ReadonlyMap<string, ConfigSegment>;
  /** Segments of the head in force that a node with this generation lacks. */
  readonly listSegmentsAbove: (generation: number) => Readonly<Record<string, ConfigSegment>>;
  /** Brings a head into force unless its generation is not higher or content is missing; says whether it did. */
  readonly applyHead: (head: ConfigHead, contents: ReadonlyMap<string, ConfigSegment>) => boolean;
  readonly onConfig: (handler: (config: Config) => void) => () => void;
}

const logger = createLogger('config');

/** Creates the state of a node that knows no configuration. */
export function createConfigState(): ConfigState {
  const handlers = new Set<(config: Config) => void>();
  let remembered: { readonly generation: number; readonly hashes: ReadonlySet<string> }[] = [];
  let current:
    | {
        readonly head: ConfigHead;
        readonly config: Config;
        readonly segments: ReadonlyMap<string, ConfigSegment>;
      }
    | undefined;

  const notifyHandler = (handler: (config: Config) => void, config: Config): void => {
    try {
      handler(config);
    } catch (error) {
      logger.error('a reader of the configuration failed', { error: String(error) });
    }
  };

  return {
    getConfig: () => current?.config,
    getHead: () => current?.head,
    getGeneration: () => current?.head.generation ?? 0,
    getSegments: () => current?.segments ?? new Map<string, ConfigSegment>(),
    listSegmentsAbove: (generation) => {
      const known = remembered.find((entry) => entry.generation === generation)?.hashes;
      return Object.fromEntries([...(current?.segments ?? [])].filter(([hash]) => known?.has(hash) !== true));
    },
    applyHead: (head, contents) => {
      if (head.generation <= (current?.head.generation ?? 0)) return false;
      const segments = new Map<string, ConfigSegment>();
      for (const hash of Object.values(head.segments)) {
        const segment = contents.get(hash);
        if (segment === undefined) return false;
        segments.set(hash, segment);
      }
      const config = compileConfig(head, [...segments.values()]);
      current = { head, config, segments };
      remembered = [...remembered, { generation: head.generation, hashes: new Set(segments.keys()) }].slice(
        -REMEMBERED_HEADS,
      );
      logger.info('configuration in force', { generation: head.generation, changeId: head.changeId });
      for (const handler of [...handlers]) notifyHandler(handler, config);
      return true;
    },
    onConfig: (handler) => {
      handlers.add(handler);
      if (current !== undefined) notifyHandler(handler, current.config);
      return () => handlers.delete(handler);
    },
  };
}
