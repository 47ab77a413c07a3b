/** When announced outages take place. */
import { weekdays, type OutageWindow, type AnnouncedOutage } from './schema.js';

const minuteMilliseconds = 60_000;
const dayMilliseconds = 86_400_000;
const weekMilliseconds = 7 * dayMilliseconds;
/** The first of January 1970 was a Thursday. */
const firstSunday = 3 * dayMilliseconds;

/** The window of an outage that is announced by its dates; undefined for one of weekly windows. */
function datedWindow(outage: AnnouncedOutage): OutageWindow | undefined {
  if (outage.from === undefined || outage.to === undefined) return undefined;
  return { from: Date.parse(outage.from), to: Date.parse(outage.to) };
}

/** The windows of an outage that touch a span of the wall clock, the earliest first. */
function windowsBetween(outage: AnnouncedOutage, from: number, to: number): readonly OutageWindow[] {
  const dated = datedWindow(outage);
  const week = firstSunday + Math.floor((from - firstSunday) / weekMilliseconds) * weekMilliseconds;
  const weeks = Array.from({ length: Math.ceil((to - week) / weekMilliseconds) + 1 }, (_, index) => week + (index - 1) * weekMilliseconds);
  const recurring = weeks.flatMap((sunday) =>
    outage.weekly.map((one) => {
      const day = sunday + weekdays.indexOf(one.day) * dayMilliseconds;
      return { from: day + one.from * minuteMilliseconds, to: day + one.to * minuteMilliseconds };
    }),
  );
  return [...(dated === undefined ? [] : [dated]), ...recurring]
    .filter((one) => one.from < to && one.to > from)
    .sort((left, right) => left.from - right.from);
}

function intersect(left: OutageWindow, right: OutageWindow): boolean {
  return left.from < right.to && right.from < left.to;
}

/** Whether windows of two outages, or of one with itself, overlap. Dated windows are compared where they are, weekly ones over two weeks. */
function overlap(left: AnnouncedOutage, right: AnnouncedOutage): boolean {
  const span = datedWindow(left) ?? datedWindow(right) ?? { from: firstSunday, to: firstSunday + 2 * weekMilliseconds };
  const others = windowsBetween(right, span.from, span.to);
  return windowsBetween(left, span.from, span.to).some((one, index) =>
    others.some((other, place) => (left !== right || index < place) && intersect(one, other)),
  );
}

export const outageWindows = { windowsBetween, overlap } as const;
