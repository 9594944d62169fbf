import { isCount } from './is-count.js';
import type { LoadMessage } from './load-message.js';

/** Maximum number of results of one server in a message. A message with more is malformed. */
const MAX_RESULTS = 10_000;

const isTuple = (value: unknown, checks: readonly ((element: unknown) => boolean)[]): boolean =>
  Array.isArray(value) &&
  value.length === checks.length &&
  checks.every((check, index) => check(value[index]));
const isList = (value: unknown, checks: readonly ((element: unknown) => boolean)[]): boolean =>
  Array.isArray(value) && value.every((element) => isTuple(element, checks));
const isText = (value: unknown): boolean => typeof value === 'string';
const isFlag = (value: unknown): boolean => typeof value === 'boolean';
const isResultCount = (value: unknown): boolean => isCount(value) && value <= MAX_RESULTS;

const LOAD_CHECKS = [isText, isCount, isCount, isCount];
const NOTICE_CHECKS = [isText, isCount, isFlag, isCount, isCount];
const OBSERVATIONS_CHECKS = [
  (results: unknown) => isList(results, [isText, isResultCount, isResultCount]),
  (reads: unknown) => isList(reads, [isText, isCount, isCount]),
  (runs: unknown) => isList(runs, [isText, isCount]),
  (fetches: unknown) => isList(fetches, [isText, isCount, isCount]),
];
const WORK_CHECKS = [isText, isCount, isCount];
const CONDITION_CHECKS = [isText, isCount, isCount, isCount];
const EXTRAS_CHECKS = [
  (works: unknown) => isList(works, WORK_CHECKS),
  (conditions: unknown) => isList(conditions, CONDITION_CHECKS),
];
const REPORT_CHECKS = [
  isFlag,
  isCount,
  (observations: unknown) => isTuple(observations, OBSERVATIONS_CHECKS),
];

/** Decodes a message with loads; returns `undefined` when it is malformed. The message kind is not checked. */
export function decodeLoadMessage(message: readonly unknown[]): LoadMessage | undefined {
  const [, host, bornMs, number, failureDomain, hosts, loads, notices = [], report, extras] = message;
  const isValid =
    isText(host) &&
    isText(failureDomain) &&
    [bornMs, number, hosts].every(isCount) &&
    isList(loads, LOAD_CHECKS) &&
    isList(notices, NOTICE_CHECKS) &&
    (report === undefined || report === null || isTuple(report, REPORT_CHECKS)) &&
    (extras === undefined || isTuple(extras, EXTRAS_CHECKS));
  return isValid ? (message as unknown as LoadMessage) : undefined;
}
