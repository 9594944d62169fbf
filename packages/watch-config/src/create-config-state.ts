import { compileConfig } from '@laburnumshift/check-declarations';
import { createLogger } from '@laburnumshift/logger';
import type { Config, ConfigHead, ConfigSegment, ConfigUpdate } from '@laburnumshift/types';

/** Removed files that are remembered for peers a little behind; after more, such a peer gets the whole head. */
const MAX_REMOVED = 1000;

/** The head in force with its content. */
interface ConfigState {
  readonly getConfig: () => Config | undefined;
  readonly getHead: () => ConfigHead | undefined;
  readonly getGeneration: () => number;
  /** Contents of the head in force, by hash. */
  readonly getSegments: () => ReadonlyMap<string, ConfigSegment>;
  /** What a node with this generation lacks; the whole head unless `isPartial`, or when the generation is too old. */
  readonly buildUpdate: (generation: number, isPartial: boolean) => ConfigUpdate | null;
  /** Brings a head into force unless its generation is not higher or content is missing; says whether it did. */
  readonly applyHead: (head: ConfigHead, contents: ReadonlyMap<string, ConfigSegment>) => boolean;
  readonly onConfig: (handler: (config: Config) => void) => () => void;
}

const logger = createLogger('config');

/** Creates the state of a node that knows no configuration. */
export function createConfigState(): ConfigState {
  const handlers = new Set<(config: Config) => void>();
  /** Generation at which each file changed or was removed, as far as this node has seen. */
  const changedAt = new Map<string, number>();
  const removedAt = new Map<string, number>();
  /** Changes above this generation are all known. */
  let knownFrom = Infinity;
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

  const trackChanges = (before: ConfigHead | undefined, after: ConfigHead): void => {
    if (before === undefined) knownFrom = after.generation;
    else {
      for (const [file, hash] of Object.entries(after.segments)) {
        if (before.segments[file] === hash) continue;
        changedAt.set(file, after.generation);
        removedAt.delete(file);
      }
      for (const file of Object.keys(before.segments)) {
        if (after.segments[file] !== undefined) continue;
        changedAt.delete(file);
        removedAt.set(file, after.generation);
      }
    }
    if (removedAt.size <= MAX_REMOVED) return;
    removedAt.clear();
    knownFrom = after.generation;
  };

  return {
    getConfig: () => current?.config,
    getHead: () => current?.head,
    getGeneration: () => current?.head.generation ?? 0,
    getSegments: () => current?.segments ?? new Map<string, ConfigSegment>(),
    buildUpdate: (generation, isPartial) => {
      if (current === undefined || current.head.generation <= generation) return null;
      const { head, segments } = current;
      if (!isPartial || generation < knownFrom) return { head, segments: Object.fromEntries(segments) };
      const files = [...changedAt].filter(([, at]) => at > generation).map(([file]) => file);
      const hashes = Object.fromEntries(files.map((file) => [file, head.segments[file] ?? '']));
      const removed = [...removedAt].filter(([, at]) => at > generation).map(([file]) => file);
      const contents = Object.values(hashes).flatMap((hash) => {
        const segment = segments.get(hash);
        return segment === undefined ? [] : [[hash, segment] as const];
      });
      const partial = { head: { ...head, segments: hashes }, base: generation, removed };
      return { ...partial, segments: Object.fromEntries(contents) };
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
      trackChanges(current?.head, head);
      current = { head, config, segments };
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
