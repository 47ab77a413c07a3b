/**
 * Failures that a check passes over: KNOWN-RED.txt names each, one a line, `kind: test | command | what was seen | issue`. An entry whose
 * test passes again, or that names nothing that runs, fails the check.
 */
import fs from 'node:fs';

const kinds = ['story', 'seed', 'pooled-seed', 'wire-seed', 'exploration', 'soak'] as const;
export type KnownRedKind = (typeof kinds)[number];

export type KnownRedEntry = Readonly<{ kind: KnownRedKind; test: string; command: string; seen: string; issue: string }>;
export type TestOutcome = Readonly<{ test: string; isFailed: boolean }>;

export type KnownRedVerdict = Readonly<{
  /** Failures that are passed over, as they are printed. */
  passedOver: readonly string[];
  /** Failures that no entry names. */
  failed: readonly string[];
  /** What is wrong with the list itself. */
  complaints: readonly string[];
}>;

/** The list is to stay short. */
const entriesMost = 3;
/** Names the file; only a check sets it, so that a run by hand passes over nothing. */
const fileVariable = 'STALLSTALL_KNOWN_RED';

function parseLine(line: string): KnownRedEntry {
  const [first = '', command = '', seen = '', issue = ''] = line.split('|').map((part) => part.trim());
  const [kindText = '', ...rest] = first.split(':');
  const kind = kinds.find((one) => one === kindText.trim());
  const test = rest.join(':').trim();
  if (kind === undefined || [test, command, seen, issue].includes(''))
    throw new Error(`KNOWN-RED.txt: expected 'kind: test | command | what was seen | issue' with a kind of ${kinds.join(', ')}: ${line}`);
  return { kind, test, command, seen, issue };
}

/** @throws Error - a line that is not an entry, a test named twice, or more entries of a kind than are to be */
function parse(text: string): readonly KnownRedEntry[] {
  const entries = text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map(parseLine);
  for (const kind of kinds) {
    const tests = entries.filter((entry) => entry.kind === kind).map((entry) => entry.test);
    if (new Set(tests).size < tests.length) throw new Error(`KNOWN-RED.txt: a ${kind} is named twice`);
    if (tests.length > entriesMost) throw new Error(`KNOWN-RED.txt: ${tests.length} entries of kind ${kind}, ${entriesMost} at the most`);
  }
  return entries;
}

/** The entries of a kind; none outside a check. */
function entriesOf(kind: KnownRedKind): readonly KnownRedEntry[] {
  const file = process.env[fileVariable] ?? '';
  if (file === '' || !fs.existsSync(file)) return [];
  return parse(fs.readFileSync(file, 'utf8')).filter((entry) => entry.kind === kind);
}

/** The seeds of a kind that a check is to play beside its own. */
function seedsOf(kind: KnownRedKind): readonly number[] {
  return entriesOf(kind)
    .map((entry) => Number(entry.test))
    .filter(Number.isSafeInteger);
}

function judge(entries: readonly KnownRedEntry[], outcomes: readonly TestOutcome[]): KnownRedVerdict {
  const failedTests = new Set(outcomes.filter((outcome) => outcome.isFailed).map((outcome) => outcome.test));
  const passedTests = new Set(outcomes.filter((outcome) => !outcome.isFailed).map((outcome) => outcome.test));
  const complaints = entries.flatMap(function complain({ kind, test }): readonly string[] {
    if (passedTests.has(test)) return [`known red passes again, take it out: ${kind} ${test}`];
    return failedTests.has(test) ? [] : [`known red names nothing that runs: ${kind} ${test}`];
  });
  const named = entries.filter(({ test }) => failedTests.has(test));
  return {
    passedOver: named.map(({ kind, test, seen, issue }) => `known red: ${kind} ${test}: ${seen} (issue ${issue})`),
    failed: outcomes.filter(({ test, isFailed }) => isFailed && entries.every((entry) => entry.test !== test)).map(({ test }) => test),
    complaints,
  };
}

/** Judges the outcomes of a kind, prints what is passed over and what is wrong with the list. Complaints count as failures. */
function report(kind: KnownRedKind, outcomes: readonly TestOutcome[]): Readonly<{ passed: number; failed: number }> {
  const { passedOver, failed, complaints } = judge(entriesOf(kind), outcomes);
  for (const line of [...passedOver, ...complaints]) console.log(line);
  return { passed: outcomes.filter((outcome) => !outcome.isFailed).length, failed: failed.length + complaints.length };
}

export const knownRed = { parse, entriesOf, seedsOf, judge, report } as const;
