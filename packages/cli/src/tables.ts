/** Formats listings as text tables for operators. */
import type { Command } from '@oclif/core';
import { coreClient, type CoreFlags } from './core-client.js';

/** A row of a listing, keyed by column name. */
export type Row = Readonly<Record<string, unknown>>;

/** Formats the value of a cell: empty if missing, text as it is, anything else as JSON. */
function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '';
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Formats rows as a text table whose first line holds the column names. */
function table(rows: readonly Row[], columns: readonly string[]): string {
  const cells = [columns, ...rows.map((row) => columns.map((column) => formatCell(row[column])))];
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

/** Requests one page of a listing and prints it as a table. */
async function showPage(
  command: Command,
  flags: CoreFlags & Readonly<{ limit: number; after: number }>,
  path: string,
  columns: readonly string[],
  transformRow: (row: Row) => Row = identity,
): Promise<Page> {
  const reply = (await coreClient.requestOrExit(command, flags, {
    method: 'GET',
    path: `${path}?limit=${flags.limit}&after=${flags.after}`,
  })) as Page;
  command.log(table(reply.rows.map(transformRow), columns));
  if (reply.next !== undefined)
    command.log(`showing ${reply.rows.length} of ${reply.total} rows; for the next ones add --after ${reply.next}`);
  return reply;
}

function identity(row: Row): Row {
  return row;
}

/** Formats a wall-clock time in ISO 8601; empty if the value is missing. */
function formatTime(value: unknown): string {
  return typeof value === 'number' ? new Date(value).toISOString() : '';
}

export const tables = { table, showPage, formatTime } as const;
