import type { HostEntry, Member, Membership, NodeMesh, PlatformClient } from '@laburnumshift/types';

/** Creates members in one failure domain. */
export function createMembers(count: number): Member[] {
  return Array.from({ length: count }, (_, i) => ({
    host: `node-${String(i)}`,
    incarnation: 1,
    failureDomain: 'd1',
    address: `127.0.0.1:${String(7000 + i)}`,
  }));
}

/** Creates a membership whose live members do not change. */
export function createMembership(members: readonly Member[], self: Member): Membership {
  return {
    getSelf: () => self,
    listLiveMembers: () => members,
    onChange: () => () => undefined,
    leave: () => Promise.resolve(),
    close: () => undefined,
  };
}

/** Creates a mesh that records its calls and answers them with `answer`. `deliver` calls a registered handler. */
export function createMesh(
  address: string,
  answer: (type: string, to: string) => Awaited<ReturnType<NodeMesh['callNode']>>,
): {
  readonly mesh: NodeMesh;
  readonly calls: { readonly to: string; readonly type: string }[];
  readonly deliver: (type: string, body: unknown) => Promise<unknown>;
} {
  const handlers = new Map<string, (body: never, from: string) => Promise<unknown>>();
  const calls: { to: string; type: string }[] = [];
  const mesh = {
    callNode: (to: string, type: string) => {
      calls.push({ to, type });
      return Promise.resolve(answer(type, to));
    },
    handleMessage: (type: string, handler: (body: never, from: string) => Promise<unknown>) => {
      handlers.set(type, handler);
    },
    getAddress: () => address,
    getCounts: () => ({}),
    close: () => Promise.resolve(),
  } as unknown as NodeMesh;
  return {
    mesh,
    calls,
    deliver: async (type, body) => handlers.get(type)?.(body as never, 'peer'),
  };
}

/** Creates a platform client that counts its reads of the host list. `list` returns `undefined` for a failed read. */
export function createPlatform(list: () => readonly HostEntry[] | undefined): {
  readonly platform: PlatformClient;
  readonly counts: { lists: number };
} {
  const counts = { lists: 0 };
  const platform = {
    listHosts: () => {
      counts.lists += 1;
      return Promise.resolve(list());
    },
  } as unknown as PlatformClient;
  return { platform, counts };
}
