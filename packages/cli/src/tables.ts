/** Listings as they are shown to an operator. */
import type { Command } from '@oclif/core';
import { coreClient, type CoreFlags } from './core-client.js';

/** A row of a listing, by column. */
export type Row = Readonly<Record<string, unknown>>;

/** A value as a cell shows it: nothing for what is missing, JSON for what is no plain value. */
function cellText(value: unknown): string {
  if (value === undefined || value === null) return '';
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Rows as a table of text with a line of column names. */
function table(rows: readonly Row[], columns: readonly string[]): string {
  const cells = [columns, ...rows.map((row) => columns.map((column) => cellText(row[column])))];
  const widths = columns.map((_, index) => Math.max(...cells.map((line) => (line[index] ?? '').length)));
  return cells
    .map((line) =>
      line
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

type Page = Readonly<{ rows: readonly Row[]; total: number; next?: number }>;

/** Asks for one page of a listing and shows it as a table. */
async function showPage(
  command: Command,
  flags: CoreFlags & Readonly<{ limit: number; after: number }>,
  path: string,
  columns: readonly string[],
  shown: (row: Row) => Row = same,
): Promise<Page> {
  const reply = (await coreClient.replyOf(command, flags, {
    method: 'GET',
    path: `${path}?limit=${flags.limit}&after=${flags.after}`,
  })) as Page;
  command.log(table(reply.rows.map(shown), columns));
  if (reply.next !== undefined) command.log(`${reply.rows.length} of ${reply.total} rows; go on with --after ${reply.next}`);
  return reply;
}

function same(row: Row): Row {
  return row;
}

/** A time of the wall clock as text; empty when there is none. */
function moment(value: unknown): string {
  return typeof value === 'number' ? new Date(value).toISOString() : '';
}

export const tables = { table, showPage, moment } as const;
