import { formatDuration } from '../format-duration.js';
import { renderColumns } from '../render-columns.js';
import { describeRollout } from './describe-rollout.js';
import { listCellViews } from './list-cell-views.js';
import type { NodeStatus } from './node-status.js';

const MEBIBYTE = 1024 * 1024;
const PERCENT = 100;

type TableRows = readonly (readonly string[])[];

const describeState = (usable: boolean, leaving: boolean): string =>
  leaving ? 'leaving' : usable ? 'ok' : 'NOT USABLE';

const listNodes = (nodes: readonly NodeStatus[]): TableRows =>
  nodes.map((node) =>
    node.unreachable === undefined
      ? [
          node.host,
          node.failureDomain,
          String(node.generation ?? 0) + (node.stale ? ' STALE' : ''),
          String(node.members.length),
          formatDuration(node.platformSilenceMs),
          String(node.runs.running ?? 0),
          node.cellHomes.join(', ') || '-',
        ]
      : [node.host, `NO ANSWER: ${node.unreachable}`],
  );

const listCells = (nodes: readonly NodeStatus[]): TableRows =>
  listCellViews(nodes).map(({ name, homes, cell: { engines, queue } }) => [
    name,
    homes.join(', ') || 'none',
    `${String(engines.filter((engine) => engine.usable).length)}/${String(engines.length)}`,
    [...new Set(engines.map((engine) => engine.weightVersion))].sort().join(', '),
    `${String(engines.reduce((sum, { running }) => sum + running, 0))}/${String(engines.reduce((sum, { slots }) => sum + slots, 0))}`,
    String(queue.waiting ?? 0),
    String(queue.refused ?? 0),
    String(queue.expired ?? 0),
  ]);

const listEngines = (nodes: readonly NodeStatus[]): TableRows =>
  listCellViews(nodes).flatMap(({ name, cell }) =>
    [...cell.engines]
      .sort((a, b) => a.name.localeCompare(b.name, 'en', { numeric: true }))
      .map((engine) => [
        engine.name,
        name,
        describeState(engine.usable, engine.leaving),
        engine.weightVersion,
        `${String(engine.running)}/${String(engine.slots)}`,
        formatDuration(engine.queueMs),
        `${(engine.estimateError * PERCENT).toFixed(0)} %`,
      ]),
  );

const listStores = (nodes: readonly NodeStatus[]): TableRows =>
  listCellViews(nodes).flatMap(({ name, cell }) =>
    cell.stores.map((store) => [
      store.name,
      name,
      describeState(store.usable, false),
      `${(store.bytesPerSecond / MEBIBYTE).toFixed(0)} MiB/s`,
      formatDuration(store.linkQueueMs),
      String(store.exportsWaiting),
    ]),
  );

const listServices = (nodes: readonly NodeStatus[]): TableRows => {
  const names = new Set(nodes.flatMap((node) => node.services.map(({ name }) => name)));
  return [...names].sort().map((name) => {
    const views = nodes.flatMap((node) => {
      const view = node.services.find((service) => service.name === name);
      return view === undefined ? [] : [{ host: node.host, ...view }];
    });
    const unusableFor = views.filter((view) => !view.usable).map((view) => view.host);
    const queue = Math.max(...views.map((view) => view.queue));
    return [
      name,
      unusableFor.length === 0 ? 'ok' : `NOT USABLE for ${unusableFor.join(', ')}`,
      String(queue),
    ];
  });
};

const listLeases = (nodes: readonly NodeStatus[]): TableRows =>
  nodes.flatMap((node) => node.leases.map(({ pool, fencing }) => [pool, node.host, String(fencing)]));

const SECTIONS: readonly {
  readonly heading: readonly string[];
  readonly listRows: (nodes: readonly NodeStatus[]) => TableRows;
}[] = [
  {
    heading: ['NODE', 'DOMAIN', 'GENERATION', 'MEMBERS', 'PLATFORM SILENT', 'RUNS', 'HOME OF'],
    listRows: listNodes,
  },
  {
    heading: ['CELL', 'HOME', 'ENGINES', 'VERSIONS', 'RUNNING', 'QUEUED', 'REFUSED', 'EXPIRED'],
    listRows: listCells,
  },
  {
    heading: ['ENGINE', 'CELL', 'STATE', 'VERSION', 'RUNNING', 'QUEUE', 'ESTIMATE ERROR'],
    listRows: listEngines,
  },
  {
    heading: ['STORE', 'CELL', 'STATE', 'LINK', 'LINK QUEUE', 'EXPORTS WAITING'],
    listRows: listStores,
  },
  { heading: ['PLAIN SERVER', 'STATE', 'QUEUE'], listRows: listServices },
  { heading: ['LEASE OF POOL', 'HOLDER', 'FENCING NUMBER'], listRows: listLeases },
];

/** Renders the status of all nodes as tables of nodes, cells, engines, stores, plain servers and leases; omits empty tables. */
export function renderStatus(nodes: readonly NodeStatus[]): string {
  const leaving = [...new Set(nodes.flatMap((node) => node.leaving))].sort();
  const tables = SECTIONS.flatMap(({ heading, listRows }) => {
    const rows = listRows(nodes);
    return rows.length === 0 ? [] : ['', ...renderColumns([heading, ...rows])];
  });
  const leavingLines = leaving.length === 0 ? [] : ['', `Leaving: ${leaving.join(', ')}`];
  return [...describeRollout(nodes), ...tables, ...leavingLines].join('\n');
}
