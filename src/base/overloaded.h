#pragma once

namespace tamarackweir {

/// A visitor for `std::visit` made of one function per alternative.
template<class... Functions>
struct overloaded : Functions...
{
  using Functions::operator()...;
};

template<class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace tamarackweir
