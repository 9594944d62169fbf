import { findHome, rankMembers } from '@laburnumshift/rank-homes';
import { buildMembers } from './build-members.js';
import type { Series } from './series.js';
import { measureTime } from './measure-time.js';

const TARGET_MEMBERS = 470;
/** Journal shards, cells and accounts of the target. */
const HOMES = [12, 500, 4100];
const SIZES = [2, 8, 32, 128, 470];

/** Measures the choice of a home by the number of members. */
export function measureHomes(): readonly Series[] {
  const ways = {
    'rank all members': (key: string, size: number) => rankMembers(key, buildMembersOnce(size)),
    'find the first': (key: string, size: number) => findHome(key, buildMembersOnce(size)),
  };
  const members = buildMembers(TARGET_MEMBERS);
  const most = HOMES.map((x) => {
    const counts = new Map<string, number>();
    for (let i = 0; i < x; i += 1) {
      const host = findHome(`cell/pool/${String(i)}`, members)?.host ?? '';
      counts.set(host, (counts.get(host) ?? 0) + 1);
    }
    return { x, y: Math.max(...counts.values()) };
  });
  const times = Object.entries(ways).map(([name, run]) => ({
    name,
    unit: 'us',
    per: 'members',
    points: SIZES.map((size) => ({
      x: size,
      y: measureTime((turn) => run(`run:account-${String(turn % 997)}`, size)),
    })),
  }));
  return [...times, { name: 'most homes on one of 470 members', unit: 'homes', per: 'homes', points: most }];
}

const known = new Map<number, ReturnType<typeof buildMembers>>();

function buildMembersOnce(size: number): ReturnType<typeof buildMembers> {
  const members = known.get(size) ?? buildMembers(size);
  known.set(size, members);
  return members;
}
