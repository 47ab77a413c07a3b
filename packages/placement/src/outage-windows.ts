/** The time windows of announced outages. */
import { weekdays, type OutageWindow, type AnnouncedOutage } from './schema.js';

const minuteMilliseconds = 60_000;
const dayMilliseconds = 86_400_000;
const weekMilliseconds = 7 * dayMilliseconds;
/** The first of January 1970 was a Thursday. */
const firstSunday = 3 * dayMilliseconds;

/** The window of an outage that has dates; undefined for an outage with weekly windows. */
function datedWindow(outage: AnnouncedOutage): OutageWindow | undefined {
  if (outage.from === undefined || outage.to === undefined) return undefined;
  return { from: Date.parse(outage.from), to: Date.parse(outage.to) };
}

/** The windows of an outage that overlap an interval of the wall clock, earliest first. */
function windowsBetween(outage: AnnouncedOutage, from: number, to: number): readonly OutageWindow[] {
  const dated = datedWindow(outage);
  const weekStart = firstSunday + Math.floor((from - firstSunday) / weekMilliseconds) * weekMilliseconds;
  const weeks = Array.from(
    { length: Math.ceil((to - weekStart) / weekMilliseconds) + 1 },
    (_, index) => weekStart + (index - 1) * weekMilliseconds,
  );
  const recurring = weeks.flatMap((sunday) =>
    outage.weekly.map((window) => {
      const day = sunday + weekdays.indexOf(window.day) * dayMilliseconds;
      return { from: day + window.from * minuteMilliseconds, to: day + window.to * minuteMilliseconds };
    }),
  );
  return [...(dated === undefined ? [] : [dated]), ...recurring]
    .filter((window) => window.from < to && window.to > from)
    .sort((left, right) => left.from - right.from);
}

function intersect(left: OutageWindow, right: OutageWindow): boolean {
  return left.from < right.to && right.from < left.to;
}

/** Whether windows of two outages overlap, or of one outage with itself. Dated windows are compared at their dates, weekly ones over two weeks. */
function overlap(left: AnnouncedOutage, right: AnnouncedOutage): boolean {
  const span = datedWindow(left) ?? datedWindow(right) ?? { from: firstSunday, to: firstSunday + 2 * weekMilliseconds };
  const others = windowsBetween(right, span.from, span.to);
  return windowsBetween(left, span.from, span.to).some((window, index) =>
    others.some((other, otherIndex) => (left !== right || index < otherIndex) && intersect(window, other)),
  );
}

export const outageWindows = { windowsBetween, overlap } as const;
