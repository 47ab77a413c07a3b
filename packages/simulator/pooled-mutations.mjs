// Shows that the stories and checkers of the pooled mode can fail: takes one guard at a time out of a copy of the build.
// `npm run pooled-mutations [-- name]`; works in a temporary copy, never in this tree. `story`: the scenario that must fail;
// `expect`: what a checker must say in a seeded run drawn from `only`, `faults` of them a day.
import { spawnSync } from 'node:child_process';
import fs from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { checkGuards, copyTree, findOutputLine, removeGuard } from './mutation-tool.mjs';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const memberSelection = 'pooler/build/member-selection.js';
const routingSteps = 'pooler/build/routing-steps.js';
const statementExecution = 'pooler/build/statement-execution.js';
const cachedReplies = 'pooler/build/cached-replies.js';
const outageCache = 'pooler/build/outage-cache.js';
const lag = ['replica-deaf', 'replica-crashed'];
const orders = ['orders-raced-on-one-number', 'orders-resent', 'order-numbers-reused', 'acknowledgements-lost', 'orders-raced-in-trouble'];
const sends = ['configuration-changed', 'key-withdrawn'];
const mutations = [
  {
    name: 'end-of-a-lease-not-looked-at',
    story: 'deposed',
    expect: 'stale',
    only: ['primary-and-edge-cut'],
    file: memberSelection,
    from: '|| runtime.clock.now() >= leader.leaseEnd',
    to: '',
  },
  {
    name: 'lost-commit-promised',
    story: 'commit whose reply is lost has',
    expect: 'refused|twice',
    only: ['replies-lost'],
    file: statementExecution,
    from: 'if (request.commits || (request.writes && Option.isNone(request.transaction))) {',
    to: 'if (false) {',
  },
  {
    name: 'draining-not-looked-at',
    story: 'drained member',
    expect: 'draining',
    only: ['primary-draining', 'replica-draining'],
    file: memberSelection,
    from: '!entry.draining && ',
    to: '',
  },
  {
    name: 'any-replica-is-fresh',
    expect: 'stale',
    only: lag,
    file: memberSelection,
    from: 'freshness.positionCovering(database.service, bound)',
    to: 'Option.some({ term: 0, number: 0 })',
  },
  { name: 'own-commit-forgotten', expect: 'stale', only: lag, file: memberSelection, from: "database.reads === 'own' ?", to: 'false ?' },
  {
    name: 'position-learnt-from-anyone',
    story: 'its staleness bound',
    file: statementExecution,
    from: 'if (isLeader && wasLeaseValid(execution, record, sentAt) && Option.isSome(replied.position))',
    to: 'if (Option.isSome(replied.position))',
  },
  {
    name: 'moved-database-not-followed',
    story: 'follows it',
    file: routingSteps,
    from: '{ ...record, request: { ...request, database } }',
    to: 'record',
  },
  {
    name: 'abandoned-transaction-given-on',
    story: 'leaves no state on its connection',
    file: 'pooler/build/transactions.js',
    from: 'connections.release(pooled, false);',
    to: 'connections.release(pooled, true);',
  },
  {
    name: 'every-statement-counted',
    expect: 'usage',
    only: sends,
    file: statementExecution,
    from: 'if (isNewRequest && record.attempts === 1 && !request.fillsCache)',
    to: 'if (true)',
  },
  {
    name: 'any-key-lets-in',
    story: 'withdrawn|typed fault|Removing a key ends its session',
    expect: 'configuration|route',
    only: sends,
    file: 'pooler/build/admission.js',
    from: 'const tenant = view.tenantsByKey.get(key);',
    to: "const tenant = view.tenantsByKey.get(key) ?? { tenant: 'tenant-one' };",
  },
  {
    name: 'rest-not-ended',
    story: 'is idle too long',
    file: 'pooler/build/pooler.js',
    from: 'now - transaction.idleSince >= idleLimit',
    to: 'false',
  },
  {
    name: 'left-transaction-stays',
    story: 'disconnects in a transaction',
    file: 'pooler/build/client-connection.js',
    from: 'if (client !== undefined && Option.isSome(client.session.transaction))\n            void transactions.rollback(commands.connections, commands.dialect, client.session.transaction.value);',
    to: '',
  },
  {
    name: 'planned-end-cuts-whoever-asks',
    story: 'shuts down gracefully',
    expect: 'planned-end',
    only: ['edge-drained'],
    file: 'pooler/build/client-table.js',
    from: '&& !awaitsReply',
    to: '',
  },
  {
    name: 'open-transactions-not-ended',
    story: 'handover only briefly',
    file: 'pooler/build/epoch-release.js',
    from: 'const handoverMilliseconds = 300;',
    to: 'const handoverMilliseconds = 60_000;',
  },
  { name: 'release-never-told', story: 'shorten', file: 'pooler/build/epoch-release.js', from: 'released[service] = below;', to: '' },
  {
    name: 'promotes-over-a-later-epoch',
    story: 'delayed finds a later epoch',
    file: 'election/build/candidacy.js',
    from: 'return electedEpoch < epoch;',
    to: 'return true;',
  },
  {
    name: 'duty-released-before-settling',
    story: 'next holder of the promotion role',
    file: 'election/build/candidacy.js',
    from: 'const isRecorded = await recordElected(services, service, {',
    to: 'await roleLease.release(); const isRecorded = await recordElected(services, service, {',
  },
  {
    name: 'silent-edge-not-waited-out',
    story: 'of a silent edge have expired',
    expect: 'stale',
    only: ['primary-draining-edge-cut'],
    file: 'election/build/succession-wait.js',
    from: 'context.hasReleased(service, epoch, majority.leaseHolders.value)',
    to: 'true',
  },
  {
    name: 'one-core-grants',
    expect: 'stale',
    only: ['primary-and-edge-cut'],
    file: 'lease/build/service-leases.js',
    from: 'voterCount: peers.length, isVoter: false',
    to: 'voterCount: 1, isVoter: false',
  },
  {
    name: 'values-not-cleared',
    story: 'never leak into other',
    expect: 'pinned',
    only: sends,
    file: 'pooler/build/sessions.js',
    from: 'if (hasOtherValues ||',
    to: 'if (false ||',
  },
  {
    name: 'shapes-not-told-apart',
    story: 'never leak into other',
    expect: 'unasked',
    only: sends,
    file: 'pooler/build/sessions.js',
    from: "return `${prepared.writes ? 'w' : 'r'} ${prepared.text}`;",
    to: "return 'one';",
  },
  {
    name: 'tenants-share-connections',
    expect: 'route',
    only: sends,
    file: 'pooler/build/member-connections.js',
    from: 'idle.pooled.tenant !== tenant || ',
    to: '',
  },
  {
    name: 'beats-taken-by-no-fleet',
    story: 'without a fleet|outside a fleet',
    // Two guards in a row: a core that is not open yet, and one that no majority answers.
    file: 'core/build/platform-api.js',
    from: 'isOpen() && registration.value.heartbeat(report)',
    to: 'registration.value.heartbeat(report)',
    more: [
      { file: 'core/build/member-registration.js', from: 'state.isInContact() && (!registration.draining', to: '(!registration.draining' },
    ],
  },
  {
    name: 'repeated-calls-carried-out',
    wires: 'was carried out 2 times',
    file: 'peer/build/served-link.js',
    from: 'frame.call <= lastCall ?',
    to: 'false ?',
  },
  {
    name: 'replies-of-nobody-taken',
    story: 'An unsolicited reply closes the link',
    file: 'peer/build/pending-calls.js',
    from: 'return timedOut.delete(call);',
    to: 'return true;',
  },
  {
    name: 'rest-taken-for-a-reply',
    wires: 'was given the reply of',
    file: 'session-protocol/build/reply-assembly.js',
    from: 'if (isOpening !== (completion === undefined))',
    to: 'if (false)',
  },
  {
    name: 'stray-reply-kept',
    story: 'An unsolicited reply closes the connection',
    file: 'runtime/build/minimal-http-connection.js',
    from: 'if (state.request === undefined)\n            close(state);',
    to: '',
  },
  {
    name: 'duty-call-not-taken-back',
    story: 'A call in progress is aborted',
    file: 'election/build/role-lease.js',
    from: 'for (const connection of lease.connections)',
    to: 'for (const connection of [])',
  },
  {
    name: 'late-departure',
    story: 'A call whose connection opens',
    file: 'election/build/role-lease.js',
    from: 'sendBefore: lease.expiresAt',
    to: '',
  },
  {
    name: 'overtaken-candidacy-promotes',
    story: 'A candidacy that was superseded',
    file: 'election/build/candidacy.js',
    from: 'return electedEpoch < epoch;',
    to: 'return true;',
  },
  {
    name: 'beat-confirmed-without-contact',
    story: 'A core without a majority',
    file: 'core/build/member-registration.js',
    from: 'return state.isInContact() && (!registration.draining',
    to: 'return (!registration.draining',
  },
  {
    name: 'draining-confirmed-alone',
    story: 'in the moment of the cut',
    file: 'core/build/member-registration.js',
    from: '|| confirm(state, registration.member)',
    to: '|| true',
  },
  {
    name: 'leave-confirmed-alone',
    story: 'in the moment of the cut',
    file: 'core/build/member-registration.js',
    from: 'state.isInContact() && confirm(state, member)',
    to: 'state.isInContact()',
  },
  {
    name: 'orders-held-after-contact-is-lost',
    story: 'in the moment of the cut',
    file: 'core/build/quorum-contact.js',
    from: 'settle(Either.left(contactLost()))',
    to: 'runtime.clock.startTimer(checkMilliseconds, checkContact)',
  },
  {
    name: 'contact-never-ends',
    story: 'A core that was frozen confirms',
    file: 'core/build/quorum-contact.js',
    from: '< contactMilliseconds',
    to: '< Number.POSITIVE_INFINITY',
  },
  {
    name: 'administration-held-without-contact',
    story: 'pages of the administration are answered',
    file: 'core/build/core-routes.js',
    from: 'administration.routes.map(contact.guardRoute)',
    to: 'administration.routes',
  },
  {
    name: 'missed-beats-not-told-again',
    story: 'What a core was told while cut off',
    file: 'core/build/registry-broadcaster.js',
    from: 'else if (!upToDate.has(core) && !catchingUp.has(core))',
    to: 'else if (false)',
  },
  {
    name: 'leave-of-an-unmet-member-forgotten',
    story: 'has not met is not lost',
    file: 'member-registry/build/member-registry.js',
    from: 'if (previous?.hasLeft === true)',
    to: 'if (previous === undefined || previous.hasLeft)',
  },
  {
    name: 'late-beats-taken',
    story: 'late heartbeat|heartbeat that arrives late',
    file: 'member-registry/build/member-registry.js',
    from: 'receivedAt - previous.receivedAt < lowerSequenceMilliseconds ? previous.record : entry',
    to: 'entry',
  },
  {
    name: 'whoever-left-comes-back',
    story: 'late heartbeat|heartbeat that arrives late',
    file: 'member-registry/build/member-registry.js',
    from: 'previous?.hasLeft === true || ',
    to: '',
  },
  {
    name: 'draining-ended-by-a-late-heartbeat',
    story: 'however late it arrives|is not read again when an earlier|No history takes',
    expect: 'draining',
    only: ['draining-replica-cut', 'draining-replica-restarted', 'heartbeats-delayed'],
    file: 'member-registry/build/member-registry.js',
    from: 'const inServiceSince = drainings.inServiceSince(draining, now);',
    to: 'const inServiceSince = Option.some(now);',
  },
  {
    name: 'draining-ended-without-contact',
    story: 'go on arriving while a draining replica is cut off',
    file: 'core/build/draining-checks.js',
    from: 'if (hasReplied)',
    to: 'if (true)',
  },
  {
    name: 'draining-ended-by-a-core-without-a-majority',
    story: 'cut off from the others concludes nothing',
    file: 'core/build/draining-checks.js',
    from: 'if (!isInContact())',
    to: 'if (false)',
  },
  {
    name: 'draining-ended-by-one-core',
    story: 'An edge follows a report of draining',
    file: 'lease/build/merged-view.js',
    from: 'returns < quorum.majority(coreCount)',
    to: 'returns === 0',
  },
  {
    name: 'returns-claimed-by-cores-that-never-knew',
    story: 'An edge follows a report of draining',
    file: 'lease/build/merged-view.js',
    from: '!record.draining && record.returned === true',
    to: '!record.draining',
  },
  {
    name: 'draining-with-a-lower-number-passed-over',
    story: 'reports draining with a lower number',
    file: 'member-registry/build/member-registry.js',
    from: '(content !== entry && !entry.draining)',
    to: 'content !== entry',
  },
  {
    name: 'draining-of-the-disk-forgotten',
    story: 'All cores restart from their disks',
    file: 'member-registry/build/member-registry.js',
    from: 'const draining = record.draining ? drainings.report(undefined, now) : undefined;',
    to: 'const draining = undefined;',
  },
  {
    name: 'old-reports-of-draining-count-again',
    story: 'A core that gets no reply keeps a member draining for itself',
    file: 'member-registry/build/member-registry.js',
    from: 'entry.draining && reportedAt > previous.inServiceSince',
    to: 'entry.draining',
  },
  {
    name: 'draining-counted-anew-for-a-new-agent',
    story: 'whose agent is started anew',
    file: 'pooler/build/view.js',
    from: 'wasInService && ',
    to: '',
  },
  {
    name: 'members-never-return',
    story: 'is read again soon after',
    expect: 'member-unused',
    only: ['draining-replica-restarted'],
    file: 'member-registry/build/draining.js',
    from: 'return isConfirmed ? Option.some(since) : Option.none;',
    to: 'return Option.none;',
  },
  {
    name: 'copy-before-its-window',
    story: 'Before its window',
    file: outageCache,
    from: 'wall >= window.from && wall < window.to',
    to: 'wall < window.to',
  },
  {
    name: 'copy-after-its-window',
    story: 'clock that is set on',
    file: outageCache,
    from: 'wall >= window.from && wall < window.to + outageGraceMilliseconds',
    to: 'wall >= window.from',
  },
  {
    name: 'copy-not-dropped',
    story: 'copy is gone',
    file: cachedReplies,
    from: 'wall - outageGraceMilliseconds, wall',
    to: 'wall - 10 * outageGraceMilliseconds, wall',
  },
  {
    name: 'copies-of-all-tenants',
    story: "Another tenant's copy",
    file: outageCache,
    from: 'request.database.database, request.tenant, values',
    to: 'request.database.database, values',
  },
  {
    name: 'copies-under-any-values',
    story: 'other session values',
    file: outageCache,
    from: 'request.tenant, values, text',
    to: 'request.tenant, text',
  },
  { name: 'incomplete-copy-used', story: 'not completed', file: outageCache, from: '!cache.isComplete || !isOpen', to: '!isOpen' },
  {
    name: 'copy-filled-in-its-window',
    story: 'not finished in it',
    file: outageCache,
    from: 'outage.holdMilliseconds && wall < window.from',
    to: 'outage.holdMilliseconds',
  },
  {
    name: 'own-commit-not-in-copy',
    story: 'own commit after the copy',
    file: outageCache,
    from: 'ownCommit === undefined ||',
    to: 'true ||',
  },
  {
    name: 'unknown-commit-not-in-copy',
    story: 'unknown end',
    file: outageCache,
    from: 'if (request.session.hasUnknownOutcome)',
    to: 'if (false)',
  },
  { name: 'write-from-a-copy', story: 'settles nothing', file: outageCache, from: '!request.writes &&', to: '' },
  { name: 'transaction-from-a-copy', story: 'settles nothing', file: outageCache, from: 'Option.isNone(request.transaction) &&', to: '' },
  {
    name: 'leader-read-from-a-copy',
    story: 'settles nothing',
    file: outageCache,
    from: "request.database.reads !== 'leader' &&",
    to: '',
  },
  {
    name: 'any-database-held',
    story: 'settles nothing',
    file: outageCache,
    from: 'outage.databases.includes(request.database.database)',
    to: 'true',
  },
  {
    name: 'moved-database-from-its-copy',
    story: 'has moved since',
    file: outageCache,
    from: 'cached.service !== request.database.service || ',
    to: '',
  },
  { name: 'any-edge-holds', story: "doesn't name", file: cachedReplies, from: 'outage.nodes.includes(view.node)', to: 'true' },
  {
    name: 'copies-without-bound',
    story: 'within its bound',
    file: outageCache,
    from: 'maxSize: outage.mostBytes',
    to: 'maxSize: 1_000_000',
  },
  {
    name: 'copy-of-a-copy',
    story: 'never made from another copy',
    file: 'pooler/build/rejection.js',
    from: 'record.request.fillsCache || ',
    to: '',
  },
  { name: 'copying-counted-as-usage', story: "nobody's usage", file: statementExecution, from: ' && !request.fillsCache', to: '' },
  {
    name: 'copy-before-any-member',
    story: 'can be placed goes to a member',
    file: routingSteps,
    from: 'const target = selection.selectTarget(record);',
    to: "if (parts.cachedReplies.isOutageOpen(record.request))\n        return rejection.rejectUnreachable(record, 'read-only', '');\n    const target = selection.selectTarget(record);",
  },
  {
    name: 'overlapping-windows-taken',
    story: 'outages are checked whole',
    file: 'placement/build/outage-checks.js',
    from: 'shared.length > 0 && outageWindows.overlap(outage, other)',
    to: 'false',
  },
  {
    name: 'any-text-under-a-number',
    story: 'stays bound to one document on every core',
    expect: 'two-texts',
    only: orders,
    file: 'core/build/claim-table.js',
    from: "found.digest === digest ? 'same' : 'different'",
    to: "'same'",
  },
  {
    name: 'number-not-claimed',
    story: 'Of two configurations under one version',
    file: 'core/build/external-updates.js',
    from: 'const claimed = await claims.claimVersion(version, textDigest, deadline - runtime.clock.now());',
    to: "const claimed = Either.right('same');",
  },
  {
    name: 'forgotten-number-acknowledged',
    story: 'whose claim has been dropped',
    file: 'core/build/claim-table.js',
    from: "return 'expired';",
    to: "return 'same';",
  },
  {
    name: 'digest-of-the-letters',
    story: 'stays bound to one document on every core',
    file: 'core/build/document-digest.js',
    from: 'return ofDocument(JSON.parse(text));',
    to: 'return ofDocument(text);',
  },
  {
    name: 'standing-number-not-claimed',
    story: 'acknowledged by a release without claims',
    file: 'core/build/external-updates.js',
    from: 'if (local?.digest !== undefined)',
    to: 'if (true)',
  },
  {
    name: 'send-id-for-any-sheet',
    story: 'A send id stays bound to one configuration',
    file: 'core/build/placement-updates.js',
    from: 'claimed.right.digest === requested.digest ?',
    to: 'true ?',
  },
  {
    name: 'send-without-its-version',
    story: 'A send id stays bound to one configuration',
    file: 'core/build/placement-updates.js',
    from: 'await parts.claims.recordVersion(update.sendId, version);',
    to: '{ }',
  },
  {
    name: 'promotion-believed-on-its-reply',
    story: 'before its promotion has taken effect',
    file: 'election/build/promotion.js',
    from: 'Option.isNone(context.platformCalls) || (await takesEffect(',
    to: 'true || (await takesEffect(',
  },
  {
    name: 'whole-in-each-ballot',
    story: 'A change transfers little',
    file: 'register/build/ballot-round.js',
    from: 'coresWithLocalEntry.has(target.core) ? withDifference : complete',
    to: 'complete',
  },
  {
    name: 'held-entry-sent-again',
    story: 'A change transfers little',
    file: 'register/build/acceptor.js',
    from: 'return isHeld ?',
    to: 'return false ?',
  },
  {
    name: 'difference-not-checked',
    story: 'A difference yields',
    file: 'register/build/compressed-difference.js',
    from: 'if (digestOf(text) !== difference.digest)',
    to: 'if (false)',
  },
  {
    name: 'earlier-version-not-kept',
    story: 'A core that missed changes',
    file: 'register/build/acceptor.js',
    from: 'return archiveEntry(accepted);',
    to: 'return true;',
  },
  {
    name: 'missed-versions-not-asked-for',
    story: 'A core that missed changes',
    file: 'core/build/version-store.js',
    from: 'for (let versions = missingVersions(store); versions.length > 0 &&',
    to: 'for (let versions = missingVersions(store); false &&',
  },
  {
    name: 'versions-without-bound',
    story: 'total size of earlier versions is limited',
    file: 'core/build/version-index.js',
    from: 'index.bytes > maxVersionBytes &&',
    to: 'false &&',
  },
  {
    name: 'forgotten-versions-asked-for',
    story: 'total size of earlier versions is limited',
    file: 'core/build/version-index.js',
    from: 'index.bytes > maxVersionBytes / 2',
    to: 'false',
  },
  {
    name: 'turn-taken-at-once',
    expect: 'one-holder',
    only: ['core-cut', 'core-killed', 'primary-crashed', 'platform-slow'],
    file: 'election/build/singleton-role.js',
    from: 'return record.released ||',
    to: 'return true ||',
  },
  {
    name: 'ballots-on-a-full-disk',
    story: 'whose disk hangs',
    file: 'register/build/acceptor.js',
    from: 'return Option.isNone(disk.syncFault());',
    to: 'return true;',
  },
  {
    name: 'notes-on-a-full-disk',
    story: 'whose disk hangs',
    file: 'register/build/report-store.js',
    from: 'if (Option.isSome(store.disk.syncFault()))',
    to: 'if (false)',
  },
  {
    name: 'disk-not-looked-at',
    story: 'A process that starts on a full disk',
    file: 'runtime/build/disk.js',
    from: 'const tested = await probe.testWrite(0);',
    to: 'const tested = Either.right(null);',
  },
  {
    name: 'commit-error-left-alone',
    story: 'must be reopened',
    file: 'runtime/build/commit-queue.js',
    from: 'if (commitError === undefined)',
    to: 'if (true)',
  },
  {
    name: 'lost-core-founds',
    story: 'have lost their stores',
    file: 'core/build/fleet-bootstrap.js',
    from: 'disk.discardedStoreReason()',
    to: 'Option.none',
    more: [{ file: 'core/build/founding.js', from: 'disk.discardedStoreReason()', to: 'Option.none' }],
  },
  {
    name: 'count-not-looked-for',
    story: 'states of a data folder after a power loss',
    file: 'runtime/build/lmdb-store.js',
    from: "typeof store.get(putsKey) === 'number'",
    to: 'true',
  },
  {
    name: 'damaged-entries-kept',
    story: 'whose store is damaged',
    file: 'core/build/data-folder.js',
    from: 'if (!isReadable(key, value))',
    to: 'if (false)',
  },
  {
    name: 'step-followed-at-once',
    story: 'Clocks that step',
    file: 'kernel/build/wall-clock.js',
    from: 'const correctionMilliseconds = 100;',
    to: 'const correctionMilliseconds = 1e9;',
  },
  {
    name: 'lasting-step-denied',
    story: 'is followed only after',
    file: 'kernel/build/wall-clock.js',
    from: 'now - step.since >= lastingStepMilliseconds',
    to: 'false',
  },
  {
    name: 'newer-change-restarts-the-fetch',
    story: 'A missing content is fetched',
    expect: 'configuration',
    only: ['core-cut-under-a-stream-of-orders'],
    file: 'register/build/content-fetcher.js',
    from: 'if (Option.isNone(fetcher.missingSince))',
    to: '',
    // Either guard alone keeps the other's loss from being seen in a whole fleet.
    more: [
      {
        file: 'lease/build/lease-request.js',
        from: 'preferred(connected, (core) => state.isCurrent(core.node))',
        to: 'connected',
      },
    ],
  },
  {
    name: 'content-from-a-core-that-is-behind',
    story: 'Another core hands contents over',
    file: 'lease/build/lease-request.js',
    from: 'preferred(connected, (core) => state.isCurrent(core.node))',
    to: 'connected',
  },
  {
    name: 'newest-push-alone',
    story: 'A stream of changes is applied',
    file: 'register/build/watcher.js',
    from: '.slice(-maxChangesPerCore)',
    to: '.slice(-1)',
  },
  {
    name: 'rounds-of-one-process-compete',
    story: 'Changes that one process makes at once',
    file: 'register/build/key-operations.js',
    from: 'if (running !== undefined)',
    to: 'if (false)',
  },
  {
    name: 'waiting-reads-run-their-own-rounds',
    story: 'Reads that wait are answered',
    file: 'register/build/key-operations.js',
    from: 'if (waiting.delete(read))',
    to: 'if (false)',
  },
  {
    name: 'rejected-rounds-wait-for-the-silent',
    story: 'A round that a majority has rejected',
    file: 'register/build/replica-calls.js',
    from: 'counted + outstanding < majority',
    to: 'false',
  },
  {
    name: 'pushes-of-another-set-counted',
    story: 'A change pushed under an earlier core set',
    file: 'register/build/watcher.js',
    from: 'left.set === right.set && ',
    to: '',
  },
  {
    name: 'reload-ends-a-start',
    story: 'A reload while a program starts',
    file: '../platform/build/daemon.js',
    from: "process.on('SIGHUP', () => undefined);",
    to: '',
  },
  {
    name: 'contents-between-cores',
    story: 'sends differences to a receiver',
    file: 'core/build/change-subscribers.js',
    from: 'if (!subscriber.wantsContent)',
    to: 'if (false)',
  },
  {
    name: 'differences-to-whoever-asks',
    story: 'sends differences to a receiver',
    file: 'core/build/change-subscribers.js',
    from: 'subscriber.contentBallot === undefined ? undefined : contents',
    to: 'contents',
  },
  {
    name: 'differences-forced',
    story: 'content is missing waits for it',
    file: 'message/build/differences.js',
    from: 'if (changed === undefined)',
    to: 'if (false)',
  },
  {
    name: 'window-fixed-without-edges-out-of-reach',
    story: 'while it is cut off from the cores is reported',
    file: 'core/build/usage-reporting.js',
    from: 'const sessionGraceMilliseconds = 6_000;',
    to: 'const sessionGraceMilliseconds = 2_500;',
  },
  {
    name: 'promoted-with-too-few-replies',
    story: 'Where commits wait for a replica',
    file: 'election/build/replica-set.js',
    from: 'missing(voters, replied).length <= voters.synchronousReplicas',
    to: 'true',
  },
  {
    name: 'names-sent-as-they-are',
    story: 'A tenant is not taken for another one',
    file: 'session-protocol/build/member-connection.js',
    from: 'byteText.encode(tenant)',
    to: 'tenant',
  },
  {
    name: 'open-transactions-keep-their-key',
    story: 'An open transaction ends when a configuration takes away',
    expect: 'configuration',
    only: ['key-withdrawn'],
    file: 'pooler/build/revocation.js',
    from: 'if (isAnyRevoked)',
    to: 'if (false)',
  },
  {
    name: 'steady-sessions-kept-until-the-end',
    story: 'Sessions in steady use are closed one after the other',
    file: 'pooler/build/client-connection.js',
    from: 'if (last !== undefined && !framer.hasPartial() && mayClose(parts, connection, input, last))',
    to: 'if (false)',
  },
  {
    name: 'last-statements-left-unanswered',
    story: 'What is asked until the end of the grace period',
    file: 'pooler/build/draining.js',
    from: 'connections.resetBusy();',
    to: '',
  },
  {
    name: 'only-registered-members-counted',
    story: 'A replica that leaves while the primary is down',
    expect: 'lost',
    only: ['replica-left-primary-crashed'],
    file: 'election/build/replica-set.js',
    from: 'if (Option.isNone(stored))',
    to: 'if (true)',
  },
  {
    name: 'ended-members-removed-without-a-proof',
    story: 'No promotion loses an acknowledged commit where one replica confirms each',
    file: 'election/build/replica-set.js',
    from: 'return isHeldByEnough ?',
    to: 'return true ?',
  },
  {
    name: 'marks-moved-past-strangers',
    story: 'A core that just became an active voter',
    file: 'lease/build/commit-watermarks.js',
    from: 'if (watermark.coveredUntil < acknowledgers.unknownHoldersUntil)',
    to: 'if (false)',
  },
  {
    name: 'marks-moved-past-ended-processes',
    story: 'Commits that the former process of an edge acknowledged',
    file: 'lease/build/lease-grantor.js',
    from: "if (request.token === '')",
    to: 'if (false)',
  },
  {
    name: 'proxy-that-began-anew-not-told',
    story: 'An agent whose proxy restarted',
    file: 'agent/build/proxy-state.js',
    from: "request.token === '' && hasReported",
    to: 'false',
  },
  {
    name: 'leave-acknowledged-before-it-is-written',
    story: 'That a member has left outlives',
    file: 'core/build/member-registration.js',
    from: 'const [isWritten, isConfirmed] = await Promise.all([file.write(), broadcaster.confirm(member)]);',
    to: 'const [isWritten, isConfirmed] = [true, await broadcaster.confirm(member)];',
    more: [{ file: 'core/build/member-registration.js', from: '|| file.write()', to: '|| true' }],
  },
  {
    name: 'old-news-of-draining-is-new',
    story: 'An edge that starts while a primary drains',
    file: 'pooler/build/view.js',
    from: 'wasInService && leader?.primary === entry.member && leader.leaseEnd > now ? now : never',
    to: 'now',
  },
  {
    name: 'news-of-draining-fresh-without-a-lease',
    story: 'hears late of a draining primary',
    file: 'pooler/build/view.js',
    from: '&& leader.leaseEnd > now ? now : never',
    to: '? now : never',
  },
  {
    name: 'blank-core-that-is-called-stays-blank',
    story: 'has no seed that still runs',
    file: 'core/build/core-set-manager.js',
    from: 'if (Option.isNone(parts.record()) && !state.isStopped && !state.isLeaving)',
    to: 'if (false)',
  },
  {
    name: 'core-never-opens-again',
    expect: 'availability',
    only: ['cores-killed-together'],
    faults: 1,
    file: 'core/build/fleet-bootstrap.js',
    from: 'void recovery.reopen();',
    to: '{ }',
  },
  {
    name: 'shared-keys-taken',
    expect: 'order-invalid',
    only: ['order-invalid-shared-key'],
    file: 'placement/build/cross-checks.js',
    from: 'configuration.tenants.flatMap((tenant) => [...new Set(tenant.keys)])',
    to: '[]',
  },
  {
    name: 'open-order-refused',
    expect: 'order-refused',
    only: ['core-cut-from-cores'],
    file: 'kernel/build/fault.js',
    from: "'no-majority': 503",
    to: "'no-majority': 409",
  },
  {
    name: 'one-disk-confirms',
    expect: 'read-back|availability',
    only: ['core-cut-ordered-then-disk-lost'],
    faults: 1,
    file: 'register/build/ballot-round.js',
    from: 'size > 0 ? quorum.majority(size) : Number.POSITIVE_INFINITY',
    to: '1',
  },
  {
    name: 'full-disk-ends-process',
    expect: 'process-ended',
    only: ['core-disk-full'],
    file: 'core/build/core-storage.js',
    from: "runtime.log('disk.failed', { reason: trouble.value.message });",
    to: 'runtime.stop(trouble.value);',
  },
];

checkGuards(root, mutations);
const wanted = process.argv.slice(2);
const copy = copyTree(root, 'pooled-mutations');

/** The stories of the copy: true when one of them ran and failed. A run without its count says nothing of the guard. */
function storyFails(story) {
  const run = spawnSync(process.execPath, ['packages/acceptance/run.mjs', story], { cwd: copy, encoding: 'utf8', timeout: 120_000 });
  const counted = /^(\d+) passed, (\d+) failed$/m.exec(run.stdout ?? '');
  if (counted === null && run.error?.code !== 'ETIMEDOUT') throw new Error(`"${story}" did not run: ${run.stderr}`);
  return counted === null || Number(counted[2]) > 0;
}

/** Links and member lines over a troubled network: true when a checker says what is expected. */
function wiresSay(expected) {
  const run = spawnSync(process.execPath, ['packages/simulator/build/wire-seeds.js', '1', '--seconds=5'], { cwd: copy, encoding: 'utf8' });
  return run.stdout.includes(expected);
}

/** Runs seeds until one of them tells of what is expected. */
function seedFails(mutation) {
  const words = ['1', '24', '--workers=2', `--only=${mutation.only.join(',')}`];
  if (mutation.faults !== undefined) words.push(`--faults=${mutation.faults}`);
  return findOutputLine(path.join(copy, 'packages/simulator/build/pooled-seeds.js'), words, new RegExp(`^  (${mutation.expect}):`));
}

let blind = 0;
for (const mutation of mutations) {
  if (wanted.length > 0 && !wanted.includes(mutation.name)) continue;
  const verdicts = [];
  // A story that fails with every guard in place shows nothing.
  if (mutation.story !== undefined && storyFails(mutation.story)) verdicts.push('NOT SHOWN: its story fails with the guard in place');
  const putBack = removeGuard(copy, mutation);
  if (putBack === undefined) {
    blind += 1;
    console.log(`${mutation.name}: the guard is not where it was`);
    continue;
  }
  if (mutation.story !== undefined) verdicts.push(storyFails(mutation.story) ? 'caught by its story' : 'NOT CAUGHT by its story');
  if (mutation.wires !== undefined) verdicts.push(wiresSay(mutation.wires) ? 'caught by the wires' : 'NOT CAUGHT by the wires');
  if (mutation.expect !== undefined) {
    const caught = await seedFails(mutation);
    verdicts.push(caught === undefined ? 'NOT CAUGHT by seeds' : `caught by ${caught.trim().slice(0, 120)}`);
  }
  putBack();
  if (verdicts.some((verdict) => verdict.startsWith('NOT'))) blind += 1;
  console.log(`${mutation.name}: ${verdicts.join('; ')}`);
}
fs.rmSync(copy, { recursive: true, force: true });
console.log(`mutations: ${blind} not caught`);
process.exitCode = blind === 0 ? 0 : 1;
