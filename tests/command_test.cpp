/**
 * @file command_test.cpp Tests of the commands: which commands are rejected when applied, and how commands change the
 * tables.
 */
#include "command_func.h"
#include "core/digest.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

namespace
{

constexpr LogTime startOfTest{Milliseconds{1'796'000'000'000}};
constexpr Resources workerSize{4'000, 8'192, 0};
constexpr Resources taskSize{1'000, 1'024, 0};
const std::string north = "north";
const std::string south = "south";

/** Replicated tables of a cell. Applies each command as one record, by default with daemon "one" as the proposer. */
class Cell
{
public:
    Cell()
    {
        run(JoinDaemon{"one", "127.0.0.1:1", "127.0.0.1:2", north, 1, 1}, "one");
        run(JoinDaemon{"two", "127.0.0.1:3", "127.0.0.1:4", south, 1, 1}, "two");
        run(RegisterWorker{"worker-1", "127.0.0.1:5", north, "rack-1", workerSize, 1});
        TeamPolicy policy;
        policy.limit = taskSize * 3;
        run(SetTeam{{}, "painters", policy, 0});
        run(GrantKey{{}, "painters-1", KeyDigest{1}, "painters", KeyRole::Submitter});
        run(PublishProfile{{}, "batch", {}, 0, ""});
    }

    CommandResult run(Command command, const std::string &daemon = "one")
    {
        LogEntry entry;
        entry.offset = tables.position.nextOffset;
        entry.appendedAt = now;
        entry.batch.daemon = daemon;
        entry.batch.incarnation = 1;
        entry.batch.sequence = ++sequence;
        entry.batch.commands.push_back(std::move(command));
        const auto result = applyEntry(tables, entry);
        if (!result.commands.empty()) {
            return result.commands.front();
        }
        CommandResult refused;
        refused.reason = result.reason;
        return refused;
    }

    void publish(const std::string &name, const ProfileSpec &spec)
    {
        CPPUNIT_ASSERT(run(PublishProfile{{}, name, spec, 0, ""}).reason == Reason::None);
    }

    SubmitJob submission(const std::string &profile = "batch", std::uint32_t count = 1)
    {
        SubmitJob command;
        command.request = makeRequestId(WallTime{now.time_since_epoch()}, 0, ++requests);
        command.key = findRef(tables.lookups.keys, std::string("painters-1"));
        command.profile = findRef(tables.lookups.profiles, profile);
        command.perTask = taskSize;
        command.count = count;
        return command;
    }

    JobRef submit(const std::string &profile = "batch", std::uint32_t count = 1)
    {
        const auto result = run(submission(profile, count));
        CPPUNIT_ASSERT(result.reason == Reason::None);
        return result.job;
    }

    TaskRef task(JobRef job, std::size_t ordinal = 0) const
    {
        return tables.jobs.get<JobState>(job).tasks[ordinal];
    }

    WorkerRef worker(const std::string &name = "worker-1") const
    {
        return findRef(tables.lookups.workers, name);
    }

    CommandResult place(TaskRef task, const std::string &name = "worker-1")
    {
        return run(PlaceTasks{{{task, worker(name)}}, false});
    }

    AttemptNumber numberOf(TaskRef task) const
    {
        return tables.attempts.get<AttemptIdentity>(tables.tasks.get<TaskState>(task).attempt).number;
    }

    CommandResult end(TaskRef task, Outcome outcome)
    {
        return run(EndAttempts{{{numberOf(task), outcome, {}}}});
    }

    const TaskState &stateOf(TaskRef task) const
    {
        return tables.tasks.get<TaskState>(task);
    }

    Tables tables;
    LogTime now = startOfTest;
    std::uint64_t sequence = 0;
    std::uint64_t requests = 0;
};

ProfileSpec profileOf(WorkKind kind, bool idempotent)
{
    ProfileSpec spec;
    spec.kind = kind;
    spec.idempotent = idempotent;
    return spec;
}

} // namespace

class CommandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandTest);
    CPPUNIT_TEST(capacityIsNeverExceeded);
    CPPUNIT_TEST(oneCommandCannotOverbookAWorker);
    CPPUNIT_TEST(taskHasOneLiveAttempt);
    CPPUNIT_TEST(teamLimitAppliesToTheWholeFleet);
    CPPUNIT_TEST(withdrawnKeyIsRefused);
    CPPUNIT_TEST(domainOutOfServiceGetsNoTask);
    CPPUNIT_TEST(leavingWorkerGetsNoTask);
    CPPUNIT_TEST(requestIdIsAcceptedOnce);
    CPPUNIT_TEST(oldRequestIdIsRefusedAfterItsRecordWasDeleted);
    CPPUNIT_TEST(gangIsPlacedCompletelyOrNotAtAll);
    CPPUNIT_TEST(failedGangMemberStopsTheOtherMembers);
    CPPUNIT_TEST(lostTaskIsRequeuedOnlyWhenIdempotent);
    CPPUNIT_TEST(neverStartedTaskIsRequeued);
    CPPUNIT_TEST(keepRuleLetsOnlyOwnDomainEndLease);
    CPPUNIT_TEST(lapseIsConfirmedOnlyAfterItsMark);
    CPPUNIT_TEST(newBootEndsEarlierAttempts);
    CPPUNIT_TEST(resentBatchIsAppliedOnce);
    CPPUNIT_TEST(olderIncarnationIsRefused);
    CPPUNIT_TEST(staleVersionIsAConflict);
    CPPUNIT_TEST(lateCopyOfADomainChangeDoesNotRevert);
    CPPUNIT_TEST(impossibleSizeIsRefusedAtOnce);
    CPPUNIT_TEST(fullQueueIsRefused);
    CPPUNIT_TEST(withdrawalNeedsAnExpiredDeadline);
    CPPUNIT_TEST(cancelEndsWaitingTasksAndStopsPlacedTasks);
    CPPUNIT_TEST(rejectedCommandsChangeNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void capacityIsNeverExceeded()
    {
        Cell cell;
        const auto job = cell.submit("batch", 2);
        cell.run(RegisterWorker{"small", "127.0.0.1:6", north, "rack-1", taskSize, 1});
        CPPUNIT_ASSERT_EQUAL(1U, cell.place(cell.task(job, 0), "small").accepted);
        CPPUNIT_ASSERT(cell.place(cell.task(job, 1), "small").lastPartReason == Reason::WorkerFull);
    }

    void oneCommandCannotOverbookAWorker()
    {
        Cell cell;
        cell.run(RegisterWorker{"small", "127.0.0.1:6", north, "rack-1", taskSize, 1});
        const auto job = cell.submit("batch", 2);
        const auto small = cell.worker("small");
        const auto result = cell.run(PlaceTasks{{{cell.task(job, 0), small}, {cell.task(job, 1), small}}, false});
        CPPUNIT_ASSERT_EQUAL(1U, result.accepted);
        CPPUNIT_ASSERT(result.lastPartReason == Reason::WorkerFull);
    }

    void taskHasOneLiveAttempt()
    {
        Cell cell;
        const auto task = cell.task(cell.submit());
        CPPUNIT_ASSERT_EQUAL(1U, cell.place(task).accepted);
        CPPUNIT_ASSERT(cell.place(task).lastPartReason == Reason::TaskNotWaiting);
        const auto worker = cell.worker();
        const auto other = cell.task(cell.submit());
        const auto twice = cell.run(PlaceTasks{{{other, worker}, {other, worker}}, false});
        CPPUNIT_ASSERT_EQUAL(1U, twice.accepted);
    }

    void teamLimitAppliesToTheWholeFleet()
    {
        Cell cell;
        cell.run(RegisterWorker{"worker-2", "127.0.0.1:6", south, "rack-2", workerSize, 1});
        const auto job = cell.submit("batch", 4);
        for (std::size_t n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT_EQUAL(1U, cell.place(cell.task(job, n), n == 0 ? "worker-1" : "worker-2").accepted);
        }
        CPPUNIT_ASSERT(cell.place(cell.task(job, 3)).lastPartReason == Reason::TeamLimit);
        cell.end(cell.task(job, 0), Outcome::Succeeded);
        CPPUNIT_ASSERT_EQUAL(1U, cell.place(cell.task(job, 3)).accepted);
    }

    void withdrawnKeyIsRefused()
    {
        Cell cell;
        cell.run(WithdrawKey{{}, "painters-1"});
        CPPUNIT_ASSERT(cell.run(cell.submission()).reason == Reason::KeyWithdrawn);
        auto keyless = cell.submission();
        keyless.key = {};
        CPPUNIT_ASSERT(cell.run(keyless).reason == Reason::KeyMissing);
    }

    void domainOutOfServiceGetsNoTask()
    {
        Cell cell;
        const auto task = cell.task(cell.submit());
        CPPUNIT_ASSERT(cell.run(SetDomain{{}, north, DomainService::Out, 1}).reason == Reason::None);
        CPPUNIT_ASSERT(cell.place(task).lastPartReason == Reason::DomainOutOfService);
        CPPUNIT_ASSERT(cell.run(SetDomain{{}, north, DomainService::In, 2}).reason == Reason::None);
        CPPUNIT_ASSERT_EQUAL(1U, cell.place(task).accepted);
    }

    void leavingWorkerGetsNoTask()
    {
        Cell cell;
        const auto task = cell.task(cell.submit());
        cell.run(SetWorkerService{cell.worker(), WorkerService::Leaving});
        CPPUNIT_ASSERT(cell.place(task).lastPartReason == Reason::WorkerLeaving);
    }

    void requestIdIsAcceptedOnce()
    {
        Cell cell;
        const auto command = cell.submission();
        const auto first = cell.run(command);
        const auto again = cell.run(command, "two");
        CPPUNIT_ASSERT(again.reason == Reason::RequestRepeated);
        CPPUNIT_ASSERT(again.job == first.job);
        auto other = command;
        other.bodyDigest = 7;
        CPPUNIT_ASSERT(cell.run(other).reason == Reason::RequestIdReused);
    }

    void oldRequestIdIsRefusedAfterItsRecordWasDeleted()
    {
        Cell cell;
        const auto command = cell.submission();
        const auto task = cell.task(cell.run(command).job);
        cell.place(task);
        cell.end(task, Outcome::Succeeded);
        cell.now += limits::requestWindow + Milliseconds{1};
        cell.run(ExpireRecords{cell.now, cell.now - limits::requestWindow, 1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tables.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tables.jobs.size());
        CPPUNIT_ASSERT(cell.run(command).reason == Reason::RequestIdTooOld);
    }

    void gangIsPlacedCompletelyOrNotAtAll()
    {
        Cell cell;
        cell.publish("gang", profileOf(WorkKind::Gang, true));
        const auto job = cell.submit("gang", 2);
        const auto worker = cell.worker();
        CPPUNIT_ASSERT(cell.place(cell.task(job)).lastPartReason == Reason::GangIncomplete);
        const auto incomplete = cell.run(PlaceTasks{{{cell.task(job), worker}}, true});
        CPPUNIT_ASSERT(incomplete.reason == Reason::GangIncomplete);
        const auto complete = cell.run(PlaceTasks{{{cell.task(job, 0), worker}, {cell.task(job, 1), worker}}, true});
        CPPUNIT_ASSERT_EQUAL(2U, complete.accepted);
    }

    void failedGangMemberStopsTheOtherMembers()
    {
        Cell cell;
        auto spec = profileOf(WorkKind::Gang, true);
        spec.maxRetries = 1;
        cell.publish("gang", spec);
        const auto job = cell.submit("gang", 2);
        const auto worker = cell.worker();
        cell.run(PlaceTasks{{{cell.task(job, 0), worker}, {cell.task(job, 1), worker}}, true});
        cell.end(cell.task(job, 0), Outcome::Failed);
        const auto &otherMember = cell.tables.attempts.get<AttemptState>(cell.stateOf(cell.task(job, 1)).attempt);
        CPPUNIT_ASSERT(otherMember.stop == StopCause::Preempted);
        cell.end(cell.task(job, 1), Outcome::Cancelled);
        CPPUNIT_ASSERT(cell.stateOf(cell.task(job, 1)).phase == TaskPhase::Waiting);
    }

    void lostTaskIsRequeuedOnlyWhenIdempotent()
    {
        Cell cell;
        cell.publish("once", profileOf(WorkKind::Request, false));
        const auto idempotent = cell.task(cell.submit("batch"));
        const auto notIdempotent = cell.task(cell.submit("once"));
        cell.place(idempotent);
        cell.place(notIdempotent);
        cell.end(idempotent, Outcome::Lost);
        cell.end(notIdempotent, Outcome::Lost);
        CPPUNIT_ASSERT(cell.stateOf(idempotent).phase == TaskPhase::Waiting);
        CPPUNIT_ASSERT(cell.stateOf(notIdempotent).outcome == Outcome::Lost);
    }

    void neverStartedTaskIsRequeued()
    {
        Cell cell;
        cell.publish("once", profileOf(WorkKind::Request, false));
        const auto task = cell.task(cell.submit("once"));
        cell.place(task);
        cell.end(task, Outcome::NeverStarted);
        CPPUNIT_ASSERT(cell.stateOf(task).phase == TaskPhase::Waiting);
        CPPUNIT_ASSERT_EQUAL(0U, cell.stateOf(task).attempts);
    }

    void keepRuleLetsOnlyOwnDomainEndLease()
    {
        Cell cell;
        auto spec = profileOf(WorkKind::Batch, true);
        spec.whenCutOff = CutOffRule::Keep;
        cell.publish("kept", spec);
        const auto task = cell.task(cell.submit("kept"));
        cell.place(task);
        const auto number = cell.numberOf(task);
        CPPUNIT_ASSERT(cell.run(MarkLapsing{{number}}, "two").lastPartReason == Reason::ProposerOutsideDomain);
        CPPUNIT_ASSERT_EQUAL(1U, cell.run(MarkLapsing{{number}}, "one").accepted);
        CPPUNIT_ASSERT(cell.run(ConfirmLapsed{{number}}, "two").lastPartReason == Reason::ProposerOutsideDomain);
        CPPUNIT_ASSERT_EQUAL(1U, cell.run(ConfirmLapsed{{number}}, "one").accepted);
    }

    void lapseIsConfirmedOnlyAfterItsMark()
    {
        Cell cell;
        const auto task = cell.task(cell.submit());
        cell.place(task);
        CPPUNIT_ASSERT(cell.run(ConfirmLapsed{{cell.numberOf(task)}}).lastPartReason == Reason::AttemptNotLapsing);
        CPPUNIT_ASSERT(cell.stateOf(task).phase == TaskPhase::Placed);
    }

    void newBootEndsEarlierAttempts()
    {
        Cell cell;
        const auto task = cell.task(cell.submit());
        cell.place(task);
        cell.run(RegisterWorker{"worker-1", "127.0.0.1:5", north, "rack-1", workerSize, 2});
        CPPUNIT_ASSERT(cell.stateOf(task).phase == TaskPhase::Waiting);
        CPPUNIT_ASSERT(cell.tables.workers.get<WorkerCapacity>(cell.worker()).used == Resources{});
        const auto late = cell.run(RegisterWorker{"worker-1", "127.0.0.1:5", north, "rack-1", workerSize, 1});
        CPPUNIT_ASSERT(late.reason == Reason::WorkerRebooted);
    }

    void resentBatchIsAppliedOnce()
    {
        Cell cell;
        const auto job = cell.submit("batch", 2);
        cell.place(cell.task(job, 0));
        const auto digest = digestOf(cell.tables.tasks);
        --cell.sequence;
        CPPUNIT_ASSERT(cell.place(cell.task(job, 1)).reason == Reason::BatchRepeated);
        CPPUNIT_ASSERT_EQUAL(digest, digestOf(cell.tables.tasks));
    }

    void olderIncarnationIsRefused()
    {
        Cell cell;
        LogEntry entry;
        entry.batch.daemon = "one";
        entry.batch.incarnation = 2;
        entry.batch.sequence = 1;
        entry.batch.commands.push_back(JoinDaemon{"one", "127.0.0.1:1", "127.0.0.1:2", north, 2, 1});
        entry.offset = cell.tables.position.nextOffset;
        CPPUNIT_ASSERT(applyEntry(cell.tables, entry).reason == Reason::None);
        CPPUNIT_ASSERT(cell.run(cell.submission()).reason == Reason::DaemonSuperseded);
        CPPUNIT_ASSERT(cell.run(cell.submission(), "nobody").reason == Reason::DaemonUnknown);
    }

    void staleVersionIsAConflict()
    {
        Cell cell;
        CPPUNIT_ASSERT(cell.run(PublishProfile{{}, "batch", {}, 0, ""}).reason == Reason::VersionConflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, cell.run(PublishProfile{{}, "batch", {}, 1, ""}).version);
        CPPUNIT_ASSERT(cell.run(SetTeam{{}, "painters", {}, 7}).reason == Reason::VersionConflict);
    }

    void lateCopyOfADomainChangeDoesNotRevert()
    {
        Cell cell;
        cell.run(SetDomain{{}, north, DomainService::Out, 1});
        cell.run(SetDomain{{}, north, DomainService::In, 2});
        CPPUNIT_ASSERT(cell.run(SetDomain{{}, north, DomainService::Out, 1}).reason == Reason::VersionConflict);
    }

    void impossibleSizeIsRefusedAtOnce()
    {
        Cell cell;
        auto command = cell.submission();
        command.perTask = workerSize + workerSize;
        CPPUNIT_ASSERT(cell.run(command).reason == Reason::ImpossibleSize);
        command.perTask = workerSize;
        CPPUNIT_ASSERT(cell.run(command).reason == Reason::TeamLimitTooSmall);
    }

    void fullQueueIsRefused()
    {
        Cell cell;
        TeamPolicy policy;
        policy.limit = taskSize * 3;
        policy.queueLimit = 2;
        cell.run(SetTeam{{}, "painters", policy, 1});
        cell.submit("batch", 2);
        CPPUNIT_ASSERT(cell.run(cell.submission()).reason == Reason::QueueFull);
    }

    void withdrawalNeedsAnExpiredDeadline()
    {
        Cell cell;
        auto spec = profileOf(WorkKind::Request, true);
        spec.maxWait = Milliseconds{1'000};
        cell.publish("hasty", spec);
        const auto task = cell.task(cell.submit("hasty"));
        CPPUNIT_ASSERT_EQUAL(1U, cell.run(WithdrawTasks{{task}, Outcome::Withdrawn}).rejected);
        cell.now += spec.maxWait;
        CPPUNIT_ASSERT_EQUAL(1U, cell.run(WithdrawTasks{{task}, Outcome::Withdrawn}).accepted);
        CPPUNIT_ASSERT(cell.stateOf(task).outcome == Outcome::Withdrawn);
    }

    void cancelEndsWaitingTasksAndStopsPlacedTasks()
    {
        Cell cell;
        const auto command = cell.submission("batch", 2);
        const auto job = cell.run(command).job;
        cell.place(cell.task(job, 0));
        CPPUNIT_ASSERT(cell.run(CancelJob{command.request, command.key}).reason == Reason::None);
        CPPUNIT_ASSERT(cell.stateOf(cell.task(job, 1)).outcome == Outcome::Cancelled);
        cell.end(cell.task(job, 0), Outcome::Cancelled);
        CPPUNIT_ASSERT(cell.tables.jobs.get<JobState>(job).outcome == Outcome::Cancelled);
        CPPUNIT_ASSERT(cell.run(CancelJob{command.request, command.key}).reason == Reason::JobEnded);
    }

    void rejectedCommandsChangeNothing()
    {
        Cell cell;
        const auto digest = digestOf(cell.tables.teams);
        auto command = cell.submission();
        command.profile = {};
        CPPUNIT_ASSERT(cell.run(command).reason == Reason::ProfileUnknown);
        CPPUNIT_ASSERT(cell.run(RemoveWorker{}).reason == Reason::WorkerUnknown);
        CPPUNIT_ASSERT_EQUAL(digest, digestOf(cell.tables.teams));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandTest);
