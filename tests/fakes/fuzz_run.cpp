#include "fakes/fuzz_run.h"

#include "fakes/fuzz.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <sstream>

namespace flamingotally::fakes
{

namespace
{

/** Generates numbers of any size, independent of the length of the list of actions. */
rc::Gen<std::uint16_t> anyNumber()
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint16_t>());
}

/** Empty model: the oracle checks the cell instead. */
struct NoModel {
};

/** An action as a RapidCheck command. */
class ActionCommand : public rc::state::Command<NoModel, FuzzedCell>
{
public:
    ActionCommand() : m_action{*rc::gen::elementOf(weightedKinds()), *anyNumber(), *anyNumber()}
    {
    }

    void run(const NoModel & /*state*/, FuzzedCell &fuzzed) const override
    {
        fuzzed.perform(m_action);
        RC_ASSERT(fuzzed.cell.verdict() == "");
    }

    void show(std::ostream &stream) const override
    {
        stream << m_action;
    }

private:
    /** Returns each kind of action as many times as its weight. */
    static const std::vector<FuzzActionKind> &weightedKinds()
    {
        static const std::vector<FuzzActionKind> kinds = [] {
            std::vector<FuzzActionKind> all;
            for (std::size_t n = 0; n < static_cast<std::size_t>(FuzzActionKind::End); ++n) {
                all.insert(all.end(), weightOf(static_cast<FuzzActionKind>(n)), static_cast<FuzzActionKind>(n));
            }
            return all;
        }();
        return kinds;
    }

    FuzzAction m_action;
};

} // namespace

FuzzReport fuzz(const FuzzPlan &plan)
{
    FuzzReport report;
    const auto property = [&report] {
        FuzzedCell fuzzed(*anyNumber());
        auto &cell = fuzzed.cell;
        const auto actions = *rc::state::gen::commands(NoModel{}, rc::state::gen::execOneOfWithArgs<ActionCommand>());
        rc::state::runAll(actions, NoModel{}, fuzzed);
        cell.finish();
        ++report.cells;
        report.steps += actions.size();
        report.checks += cell.oracle.checks();
        report.accepted += cell.oracle.accepted().size();
        report.runs += cell.world.journal.runs.size();
        RC_ASSERT(cell.verdict() == "");
    };
    rc::detail::TestParams params;
    params.seed = plan.seed;
    params.maxSuccess = plan.cells;
    params.maxSize = plan.maxListLength;
    params.disableShrinking = !plan.shrink;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    report.text = text.str();
    report.passed = result.is<rc::detail::SuccessResult>();
    return report;
}

} // namespace flamingotally::fakes
